#!/usr/bin/env bash
# max_header_bytes is raised while clients keep connections open. Exits with 1 if the rule
# DENIED was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the limit is
# the raised one from the start.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/limits ] && [ -x target/tillerd ] || { echo "not built"; exit 2; }
timeout --kill-after=2 110 target/review-2/limits "$PWD" "$PWD/review/10"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
