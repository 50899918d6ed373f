#!/usr/bin/env bash
# Builds every program that the scripts of the second review start beside the daemons of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/second ./review/second
