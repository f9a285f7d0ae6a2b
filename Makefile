GO ?= go
TOOLS := $(CURDIR)/.tools
MODULES := . ./cmd/controller ./cmd/measure ./cmd/node ./cmd/quickstart ./cmd/tillerctl
PACKAGES := $(foreach m,$(MODULES),$(m)/...)
DEPLOYMENT ?= kigali

GOLANGCI_LINT := v2.15.0
PROTOC_GEN_GO := v1.36.12
PROTOC_GEN_TWIRP := v8.1.3+incompatible
ENUMER := v1.7.2

.PHONY: build
build:
	$(GO) build -o bin/ ./cmd/controller ./cmd/measure ./cmd/node ./cmd/quickstart ./cmd/tillerctl

.PHONY: test
test: lint
	CGO_ENABLED=1 $(GO) test -race -count=1 $(PACKAGES)

SEEDS ?= 50
FIRST ?= 1
LENGTH ?= 15s

.PHONY: soak
soak:
	$(GO) test ./internal/soak -count=1 -timeout 4h -v -seeds $(SEEDS) -first $(FIRST) -length $(LENGTH)

.PHONY: lint
lint: $(TOOLS)/golangci-lint-$(GOLANGCI_LINT)
	@set -e; for m in $(MODULES); do (cd $$m && $(TOOLS)/golangci-lint-$(GOLANGCI_LINT) fmt --diff ./... && $(TOOLS)/golangci-lint-$(GOLANGCI_LINT) run --allow-parallel-runners ./...); done

$(TOOLS)/golangci-lint-$(GOLANGCI_LINT):
	GOWORK=off GOBIN=$(TOOLS) $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT)
	mv $(TOOLS)/golangci-lint $@

.PHONY: quickstart
quickstart: build
	./bin/quickstart --deployment $(DEPLOYMENT)

.PHONY: walkthrough
walkthrough: build
	./examples/loopback/walkthrough.sh

.PHONY: measure
measure: build
	./bin/measure --commit $$(git rev-parse --short HEAD) --out docs/measurements/latest.jsonl

.PHONY: capacity
capacity: build
	./bin/measure capacity --from docs/measurements/latest.jsonl --page docs/CAPACITY.md
	./bin/measure plot --from docs/measurements/latest.jsonl --folder docs/measurements

.PHONY: generate
generate:
	GOBIN=$(TOOLS) $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO)
	GOBIN=$(TOOLS) $(GO) install github.com/twitchtv/twirp/protoc-gen-twirp@$(PROTOC_GEN_TWIRP)
	GOBIN=$(TOOLS) $(GO) install github.com/dmarkham/enumer@$(ENUMER)
	PATH=$(TOOLS):$$PATH protoc -I wire --go_out=wire --go_opt=paths=source_relative \
		--twirp_out=wire --twirp_opt=paths=source_relative wire/wire.proto
	PATH=$(TOOLS):$$PATH $(GO) generate ./...
