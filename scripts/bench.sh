#!/usr/bin/env bash
# Runs all benchmarks, one package at a time, and checks the bounds of bench-bounds.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
results="$(mktemp)"
trap 'rm -f "$results"' EXIT

# Five separate runs where a bound is close to the time measured or two benchmarks are compared: other load on the
# machine lengthens runs, and may change between the two.
runs_of() {
	case "$1" in
	entry | forward | gateway/placement) echo 5 ;;
	*) echo 1 ;;
	esac
}

for package in $(git grep -lE '^func Benchmark' -- '*_test.go' | xargs -n1 dirname | sort -u); do
	for _ in $(seq "$(runs_of "$package")"); do
		timeout 120 go test -run '^$' -bench . -benchmem -benchtime 300ms "./$package" | tee -a "$results"
	done
done
echo
awk -f scripts/bench-check.awk scripts/bench-bounds.txt "$results"
