# Commands of the repository. `make test` is what CI runs.

GO      ?= go
LINT    := $(GO) tool -modfile=tools/go.mod golangci-lint
SEEDS   ?= 50
FRESH   ?= 5m
JOBS    ?= 3
FUZZTIME ?= 1m
VERSION := $(shell git describe --tags --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/mastichollow/mastichollow/internal/process.Version=$(VERSION)

export CGO_ENABLED = 1

.PHONY: build demo demo-platform up down test guarantees mutants bench soak soak-fresh fuzz lint format

build: ## Build the programs into bin/.
	$(GO) build -ldflags "$(LDFLAGS)" -o bin/ ./cmd/...

demo: build ## Run a fleet on loopback, send requests through it and check them.
	scripts/demo.sh

demo-platform: build ## Run gates as on the users' platform on loopback, with stand-ins, and check them.
	bin/mastichollow-soak --demo

up: build ## Leave a fleet running on loopback.
	scripts/up.sh

down: ## Stop the fleet that `make up` started.
	scripts/fleet.sh down $${TMPDIR:-/tmp}/mastichollow-fleet

lint: build ## Check the format, run the linter and compare docs/OPERATIONS.md with the programs.
	$(LINT) fmt --diff ./...
	$(LINT) run --allow-parallel-runners ./...
	GO=$(GO) scripts/check-docs.sh

format: ## Format the code.
	$(LINT) fmt ./...

test: lint ## Check the format, run the linter, every test with the race detector and each fuzz test shortly.
	$(GO) vet ./...
	GO=$(GO) scripts/test.sh
	GO=$(GO) scripts/fuzz.sh

fuzz: ## Run each fuzz test for FUZZTIME.
	GO=$(GO) FUZZTIME=$(FUZZTIME) scripts/fuzz.sh

guarantees: ## Run the tests behind docs/GUARANTEES.md, a line for each promise.
	GO=$(GO) scripts/guarantees.sh

mutants: ## Break a copy of the code on purpose and see the proofs fail.
	GO=$(GO) scripts/mutants.sh

bench: build ## Print the measures of each policy at each size, the same on each run.
	bin/mastichollow-bench

soak: build ## Play SEEDS seeds of random faults against gates as processes.
	bin/mastichollow-soak --seeds $(SEEDS) --jobs $(JOBS)

soak-fresh: build ## Play new seeds for FRESH.
	bin/mastichollow-soak --fresh $(FRESH) --jobs $(JOBS)
