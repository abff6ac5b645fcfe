#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/dragonflystep ] || exit 2
[ -x target/review/release/review_standins_2 ] || exit 2
exec target/review/release/review_standins_2 owner_turned_away review/8
