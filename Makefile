# Forwards to the scripts; there is no logic here.
.PHONY: build run test measure generate docs

build:
	@_scripts/build

run: build
	@go run ./_scripts/run/main.go

test: build
	@_scripts/test

measure: build
	@go run ./_scripts/measure/main.go

generate:
	@_scripts/generate

docs: build
	@.bin/plantainbank docs docs/cli
