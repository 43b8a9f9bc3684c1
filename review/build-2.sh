#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/tools-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" go build -o ../../target/review-2/ ./crash ./limits
