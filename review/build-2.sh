#!/bin/bash
# Builds the program that the scripts in review/6 to review/10 start. It holds all of their
# stand-ins: the platform's store, the runners and the clients. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/second"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-2/second .
