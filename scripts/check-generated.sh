#!/usr/bin/env bash
# Fails if a .proto file changed without its generated code: the digest of the
# .proto files is stored beside the code when it is generated.
set -euo pipefail
cd "$(dirname "$0")/../apipb"
if ! sha256sum --quiet -c proto.sha256; then
  echo "apipb: a .proto file differs from the one the code was generated from; run apipb/generate.sh"
  exit 1
fi
