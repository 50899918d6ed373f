#!/usr/bin/env bash
# Checks that no compiled program and no file above 1 MB is tracked. The entries
# of the bench in journal/ are compressed data, so only their size is checked.
set -euo pipefail
cd "$(dirname "$0")/.."

max_bytes=1000000
failed=0
while IFS= read -r -d '' file; do
  if [ "$(head -c 4 "$file" | od -An -tx1 | tr -d ' \n')" = 7f454c46 ]; then
    echo "$file: a compiled program is tracked"
    failed=1
  fi
done < <(git ls-files -z -- . ':!journal')
while read -r bytes file; do
  if [ "$bytes" -gt "$max_bytes" ]; then
    echo "$file: larger than $max_bytes bytes"
    failed=1
  fi
done < <(git ls-files -z | xargs -0 stat -c '%s %n')
exit $failed
