# Commands for developers. CI runs lint, test and demo.

.PHONY: build test lint demo measure

build:
	mkdir -p bin
	go build -o bin/ ./cmd/tillerd ./cmd/tillerctl ./standin/cmd/standin ./standin/cmd/bench

test:
	go test -count=1 -timeout 20m work

lint:
	test -z "$$(gofmt -l cmd cli coordination daemon gateway internal platform protocol standin state transport | tee /dev/stderr)"
	go vet work
	go tool staticcheck ./... ./standin/...

demo: build
	bash scripts/demo.sh

measure: build
	bash scripts/measure.sh
