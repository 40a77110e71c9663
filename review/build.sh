#!/usr/bin/env bash
# Builds the stand-ins of the scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local go build -o ../target/review-harness .
