#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts in review/11 to review/15, after the build of the
# deploy file. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review3 -o target/review3 ./review/cases3
