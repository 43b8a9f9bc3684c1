#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/tools"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" go build -o ../bin/ ./...
