#!/usr/bin/env bash
# Regenerates the Go code of the .proto files. The plugins are Go tools pinned in
# go.mod; buf compiles the .proto files.
set -euo pipefail
cd "$(dirname "$0")"
buf_version=v1.75.0
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
GOBIN=$bin go install "github.com/bufbuild/buf/cmd/buf@$buf_version"
PATH=$bin:$PATH buf generate .
sha256sum ./*.proto >proto.sha256
