#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, without a network. The node's program is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --target-dir target/review --manifest-path review/standins/Cargo.toml
