#!/usr/bin/env bash
# Checks that every test named in docs/INVARIANTS.md exists in its package and is
# not skipped, so that the table cannot claim a proof that is gone.
set -euo pipefail
cd "$(dirname "$0")/.."

failed=0
while read -r name; do
  package=${name%.*}
  test=${name##*.}
  if ! grep -qE "^func $test\(" "$package"/*_test.go 2>/dev/null; then
    echo "docs/INVARIANTS.md: no test $test in package $package"
    failed=1
  fi
done < <(grep -oE '`[a-z0-9/]+\.(Test|Fuzz)[A-Za-z0-9_]+`' docs/INVARIANTS.md | tr -d '`' | sort -u)
exit $failed
