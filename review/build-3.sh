#!/usr/bin/env bash
# Builds the stand-ins, clients and checks of the scripts in review/11 to review/15. It needs no
# module but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/third
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-3 .
