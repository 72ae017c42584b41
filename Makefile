# Commands of the repository. `make test` is what CI runs.

GO      ?= go
LINT    := $(GO) tool -modfile=tools/go.mod golangci-lint
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/mastichollow/mastichollow/internal/process.Version=$(VERSION)

export CGO_ENABLED = 1

.PHONY: build test lint format

build: ## Build the programs into bin/.
	$(GO) build -ldflags "$(LDFLAGS)" -o bin/ ./cmd/...

lint: ## Check the format and run the linter.
	$(LINT) fmt --diff ./...
	$(LINT) run ./...

format: ## Format the code.
	$(LINT) fmt ./...

test: lint ## Check the format, run the linter and every test with the race detector.
	$(GO) vet ./...
	$(GO) test -race -count=1 ./...
