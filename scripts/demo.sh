#!/usr/bin/env bash
# Runs the whole request path on this machine: a platform, three backend
# servers, two entry hosts in two regions and a caller, each as a process of
# its own on free ports. Exits with 0 only if every answer is correct. Stops
# only the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/bin:$PATH"
export TILLER_SECRET="secret-of-the-demo-fleet"

work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait "${pids[@]}" 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT

say() { printf '\n== %s\n' "$*"; }

# start NAME COMMAND... starts a process, logs its output and waits until it
# reports that it is ready.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	eval "pid_$name=$!"
	until grep -q 'event=[a-z]*\.ready' "$work/$name.log" 2>/dev/null; do
		kill -0 $! 2>/dev/null || { cat "$work/$name.log"; exit 1; }
		sleep 0.05
	done
}

# until_true COMMAND... repeats a command until it succeeds, for two minutes
# or longer if the command is slow, and then exits with 1.
until_true() {
	for _ in $(seq 600); do
		"$@" >/dev/null 2>&1 && return
		sleep 0.2
	done
	echo "timed out waiting for: $*"
	exit 1
}

# field NAME KEY prints a value from the ready line of a process.
field() { grep -m1 'event=[a-z]*\.ready' "$work/$1.log" | grep -o "\b$2=[^ ]*" | cut -d= -f2; }

say "start the platform and three backend servers"
start platform standin platform
export TILLER_PLATFORM="http://$(field platform address)"
for name in lookups payments reports; do
	start "$name" standin backend --slots 4 --work 5ms
	echo "$name: $(field "$name" address)"
done

say "start two entry hosts in two regions"
host() {
	start "$1" tillerd --host-id "$1" --datacentre "$2" --region "$3" \
		--caller-listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 --lookup-ttl 1s
	echo "$1: callers $(field "$1" caller), peers $(field "$1" peer), operators $(field "$1" operator)"
}
host north north-1 north
host south south-1 south
standin hosts --platform "$TILLER_PLATFORM" \
	--host "north,north-1,north,$(field north peer),$(field north caller)" \
	--host "south,south-1,south,$(field south peer),$(field south caller)"

say "apply the catalogue"
tillerctl apply -f examples/demo/places.json
for name in lookups payments reports; do
	sed "s/@$name@/$(field "$name" address)/" "examples/demo/$name.json" >"$work/$name.json"
	tillerctl apply -f "$work/$name.json"
done
export TILLER_DAEMONS="$(field north operator),$(field south operator)"
tillerctl wait --members 2
tillerctl status

say "call each service through each entry host"
for entry in north south; do
	for service in lookups payments reports; do
		standin caller --entry "$(field "$entry" caller)" --service "$service" --body "request-%d-from-$entry" --count 2
	done
done

say "drain a backend server"
tillerctl drain upstream.lookups-1
# refused SERVICE succeeds if a request for the service does not run.
refused() { (standin caller --entry "$(field north caller)" --service "$1" --body drained --timeout 1s || true) | grep -q 'outcome=not-run'; }
until_true refused lookups
echo "lookups get no new requests"
tillerctl undrain upstream.lookups-1
until_true standin caller --entry "$(field north caller)" --service lookups --body back --timeout 1s
echo "lookups are served again"

say "stop an entry host gracefully"
kill "$pid_south"
wait "$pid_south"
standin caller --entry "$(field north caller)" --service payments --body after-the-stop
standin get --url "http://$(field payments address)/admin/stats"

say "run gateways on an emulated platform of the operators"
standin field --program bin/tillerd

say "demo passed"
