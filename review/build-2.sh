#!/bin/sh
# Builds what the cases of the second review start beside the pooler. It needs Go and no network.
set -eu
cd "$(dirname "$0")/second"
mkdir -p bin
GOFLAGS= GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o bin/ ./...
