#!/usr/bin/env bash
# Runs every check that a change must pass. Needs Go, bash, git and make only.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== modules"
go mod download
go mod verify

echo "== format"
files=$(git ls-files '*.go' | grep -v '\.pb\.go$')
unformatted=$(go tool gofumpt -l $files)
if [ -n "$unformatted" ]; then
  printf 'not formatted:\n%s\n' "$unformatted"
  exit 1
fi

echo "== vet and staticcheck"
go vet ./...
go tool staticcheck ./...

echo "== generated code"
scripts/check-generated.sh

echo "== invariants table"
scripts/check-invariants.sh

echo "== tracked files"
scripts/check-tracked-files.sh

echo "== tests"
make test
