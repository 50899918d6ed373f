#!/usr/bin/env bash
# Runs the tests with the race detector. Tests listed in KNOWN-RED.txt are left
# out of the verdict and printed. The test cache is not used: it does not notice
# changes of the programs that package e2e builds.
set -euo pipefail
cd "$(dirname "$0")/.."

# Property tests start from one seed, so that a run gives the same verdict each
# time. Set RAPID_SEED to search with another one; 0 picks one at random.
export RAPID_SEED=${RAPID_SEED:-20261204}

red=$(sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt | paste -sd'|' -)
if [ -n "$red" ]; then
  echo "known red, not part of the verdict (KNOWN-RED.txt): ${red//|/ }"
  go test -race -count=1 -skip "^($red)\$" ./...
  go test -race -count=1 -run "^($red)\$" ./... || echo "known red tests failed as listed"
else
  go test -race -count=1 ./...
fi
