#!/usr/bin/env bash
# Builds the stand-ins of the cases, into target/review/. The build of the deploy file has to be there for the scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1 GOFLAGS=-mod=readonly GOPROXY=off GOTOOLCHAIN=local
mkdir -p target/review
go build -o target/review/ ./review/rig
