#!/usr/bin/env bash
# Builds the clients, runners and store that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go test -c -tags review -o target/review/standin.test ./review/standin
