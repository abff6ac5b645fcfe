#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, from the root of the repository and without a network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --offline --target-dir target/review --manifest-path review/standins-2/Cargo.toml
