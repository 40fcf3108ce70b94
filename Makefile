# Targets for users and developers. See README.md.
SEED ?= 1
GO ?= go

.PHONY: build test lint fmt up demo bench fuzz soak ci generate

build:
	$(GO) build -o bin/ ./cmd/...

test:
	SEED=$(SEED) ./scripts/test.sh

lint:
	./scripts/lint.sh

fmt:
	./scripts/fmt.sh

up: build
	./scripts/up.sh

demo: build
	./scripts/demo.sh

bench: build
	./scripts/bench.sh

fuzz:
	./scripts/fuzz.sh

soak:
	./scripts/soak.sh

ci:
	bash .ci/run

generate:
	./scripts/generate.sh
