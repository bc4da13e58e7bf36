#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the build of the deploy file: the program
# that is their platform, runners and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2/cases ./review/cases2
