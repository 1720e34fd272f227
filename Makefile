# The README describes the targets demo and test.
SHELL := /bin/bash
TOOLS := $(CURDIR)/bin/tools
VERSION ?= $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/figfront/figfront/internal/process.Version=$(VERSION)

.PHONY: all build demo test check crowd lint format vet tools gopls packages generate bench capacity clean

all: build

build:
	go build -ldflags '$(LDFLAGS)' -o bin/ ./cmd/...

# demo builds figfront and runs a demo on loopback until it is interrupted.
demo: packages build
	deploy/demo/run.sh

# test runs everything that CI runs.
test: packages lint build check

# check runs the tests; only those listed in KNOWN-RED.txt may fail. The result is
# knownred's, which also fails if a package can't be built or no test passes.
check: tools
	cd tools && go test -count=1 ./...
	go test -count=1 -race -json ./... 2>&1 | $(TOOLS)/knownred -list KNOWN-RED.txt
	$(MAKE) crowd

# crowd plays crowds of callers that nobody controls against real processes, one test
# at a time and after all others, since they measure the memory of a process.
crowd: tools
	go test -count=1 -tags crowd -json ./platform/crowdtest 2>&1 | $(TOOLS)/knownred -list KNOWN-RED.txt

lint: tools vet
	@unformatted=$$($(TOOLS)/gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi
	$(TOOLS)/golangci-lint run ./...

format: tools
	$(TOOLS)/gofumpt -w $$(git ls-files '*.go' | grep -v '\.pb\.go$$')

vet:
	go vet ./...
	go vet -tags processes ./platform/restarttest
	go vet -tags crowd ./platform/crowdtest

# tools builds the tools at the versions pinned in tools/ and tools/lint.
tools:
	@mkdir -p $(TOOLS)
	@cd tools && go build -o $(TOOLS)/ tool && go build -o $(TOOLS)/ ./knownred
	@cd tools/lint && go build -o $(TOOLS)/ tool

# gopls builds the pinned gopls, which is used to rename identifiers; CI does not
# need it.
gopls:
	@mkdir -p $(TOOLS)
	@cd tools/gopls && go build -o $(TOOLS)/ tool

# packages installs the Debian packages that the tests and the demo need.
packages:
	@if ! command -v spin >/dev/null || ! command -v gcc >/dev/null || ! command -v curl >/dev/null; then \
		apt-get update -q && apt-get install -q -y spin gcc libc6-dev curl; fi

# generate regenerates the code in api/ from the .proto file; it needs protoc.
generate: tools
	PATH=$(TOOLS):$$PATH protoc -I api --go_out=. --go_opt=module=github.com/figfront/figfront \
		--go-drpc_out=. --go-drpc_opt=module=github.com/figfront/figfront api/exchange/exchange.proto

# bench runs the Go benchmarks, plots the curves in docs/img and measures the latency
# that a gateway adds on loopback.
bench:
	go test ./internal/decisionbench -run XXX -bench 'Table|Curve' -benchtime 1x -plot $(CURDIR)/docs/img
	go test ./internal/loadbalancer -run XXX -bench Pick
	go run ./internal/capacity/capacitytool loopback

# capacity measures the figures in docs/CAPACITY.md again. It takes a few minutes and
# starts up to a hundred agents on loopback.
capacity: build
	mkdir -p docs/capacity
	go run ./internal/capacity/capacitytool slopes > docs/capacity/slopes.txt
	go run ./internal/capacity/capacitytool agents > docs/capacity/agents.txt
	go run ./internal/capacity/capacitytool loopback > docs/capacity/loopback.txt

clean:
	rm -rf bin
