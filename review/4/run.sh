#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 no client leaves early.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM --kill-after=5 110 target/refund --record review/4/record.txt
