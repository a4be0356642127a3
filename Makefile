# Every target calls a script or a single command.
.PHONY: build run test soak measure generate docs

build:
	@_scripts/build

run: build
	@go run ./_scripts/run/main.go

test: build
	@_scripts/test

soak:
	@go test ./platform -run TestSoak -timeout 60m -soak.seeds $(or $(SEEDS),50) -soak.first $(or $(FIRST),1)

measure: build
	@go run ./_scripts/measure/main.go

generate:
	@_scripts/generate

docs: build
	@.bin/plantainbank docs docs/cli
