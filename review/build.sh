#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs Go and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS= GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o bin/ ./cmd/...
