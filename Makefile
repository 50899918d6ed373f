GO ?= go
BIN := bin

.PHONY: build test bench demo ci fmt

build:
	$(GO) build -trimpath -o $(BIN)/ ./cmd/...

test:
	scripts/test.sh

bench:
	scripts/bench.sh

demo: build
	scripts/demo.sh

fmt:
	$(GO) tool gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')

ci:
	scripts/ci.sh
