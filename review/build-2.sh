#!/bin/sh
# Builds what the cases of the second review start beside the pooler. It needs Go and no network.
set -eu
cd "$(dirname "$0")/second"
mkdir -p bin
GOWORK=off GOFLAGS= go build -buildvcs=false -o bin/ ./...
