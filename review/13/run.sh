#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Needs the build of deploy/system.toml and review/build-3.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pistachiomount ] && [ -x target/review3 ] || exit 2
exec target/review3 outdated-start review/13/record.txt
