#!/usr/bin/env bash
# Builds the program that runs the script cases of the third review, with all of their stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review3 ./review/third
