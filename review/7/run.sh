#!/usr/bin/env bash
# Requests that crash the upstreams which run them come again while the machines are stopped
# and started in turn. Exits with 1 if the rule BUDGET was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the machines alone.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/crash ] && [ -x target/tillerd ] || { echo "not built"; exit 2; }
timeout --kill-after=2 117 target/review-2/crash "$PWD" "$PWD/review/7"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
