# Targets for developers. CI runs lint, test and demo.

.PHONY: build test lint demo measure soak fuzz report

build:
	mkdir -p bin
	go build -o bin/ ./cmd/tillerd ./cmd/tillerctl ./standin/cmd/standin ./standin/cmd/bench

# known_red is the list of tests in KNOWN-RED.txt, which are skipped.
known_red := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd'|' -)

skip_known_red := $(if $(known_red),-skip '^($(known_red))$$')

# The tests of pressure measure a process's memory, so they run apart from the others.
test:
	go test -count=1 -timeout 20m $(skip_known_red) $$(go list work | grep -v /standin/pressure$$)
	go test -count=1 -timeout 20m $(skip_known_red) bilberrytiller.example/standin/pressure

lint:
	test -z "$$(gofmt -l cmd cli coordination daemon gateway internal platform protocol standin state transport | tee /dev/stderr)"
	go vet work
	go tool staticcheck ./... ./standin/...

demo: build
	bash scripts/demo.sh

measure: build
	bash scripts/measure.sh

# Runs the soaks with fifty seeds each.
soak:
	cd standin && go test -count=1 -timeout 60m ./soak -run "TestSoak|TestPlannedWorkIsUnnoticed" -seeds 50
	cd standin && go test -count=1 -timeout 60m ./soak -run TestRestorationIsUnnoticed -seeds 50

fuzz:
	go test ./platform -fuzz FuzzSettings -fuzztime 1m
	go test ./platform -fuzz FuzzDecode -fuzztime 1m
	go test ./transport/upstreamhttp -fuzz FuzzAnswer -fuzztime 1m

# Generates an HTML page with plots from the journal of bench runs.
report:
	mkdir -p bin
	cd standin && go run ./cmd/report --journal ../journal --out ../bin/report.html
