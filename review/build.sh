#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go build -trimpath -o target/ ./review/interim ./review/refund ./review/unreadable
