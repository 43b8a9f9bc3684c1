# Targets for developers. CI runs lint, test and demo.

.PHONY: build test lint demo measure soak fuzz report experiment-bodies experiment-connections experiment-readers experiment-collector

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

# Experiments of a gateway under pressure, on a machine with little memory. Each takes about
# a minute, and measures well only apart from other load.
pressure_bench = cd standin && go test -count=1 -run '^$$' -benchtime 1x ./pressure -bench

experiment-bodies:
	$(pressure_bench) '^BenchmarkBodies$$'

experiment-connections:
	$(pressure_bench) '^BenchmarkConnections$$'

experiment-readers:
	$(pressure_bench) '^BenchmarkSlowReaders$$'

experiment-collector:
	$(pressure_bench) '^BenchmarkCollector$$'

fuzz:
	go test ./platform -fuzz FuzzSettings -fuzztime 1m
	go test ./platform -fuzz FuzzDecode -fuzztime 1m
	go test ./transport/upstreamhttp -fuzz FuzzAnswer -fuzztime 1m

# Generates an HTML page with plots from the journal of bench runs.
report:
	mkdir -p bin
	cd standin && go run ./cmd/report --journal ../journal --out ../bin/report.html
