#!/usr/bin/env bash
# Runs the experiments and writes docs/MEASUREMENTS.md. SEED sets the seed of
# the arrival times.
set -euo pipefail
cd "$(dirname "$0")/.."
export PATH="$PWD/bin:$PATH"
seed="${SEED:-1}"

out=$(mktemp)
trap 'rm -f "$out"' EXIT
{
	echo "# Measurements"
	echo
	echo "Written by \`make measure\` (\`bench --seed $seed\`), on $(nproc) processors with a"
	echo "load average of $(cut -d' ' -f1 /proc/loadavg) at the start. Backend servers, callers and daemons share"
	echo "the machine. Baselines are measured in the same run. They call the backend servers directly,"
	echo "without the hop through a daemon. The experiments are in standin/bench."
	echo
	bench --seed "$seed"
} | tee "$out"
cp "$out" docs/MEASUREMENTS.md
