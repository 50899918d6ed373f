#!/usr/bin/env bash
# Regenerates the Go code of the .proto files. Needs protoc 3.21 or newer
# (Debian: protobuf-compiler); the plugins are Go tools pinned in go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH=$bin:$PATH protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative ./*.proto
sha256sum ./*.proto >proto.sha256
