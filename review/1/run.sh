#!/usr/bin/env bash
# Case 1: a gateway that is stopped leaves the prompts that wait for a runner without an answer.
# TROUBLE=0 does the same without the stop. Exit code: 1 broken, 0 held, 2 could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/cornelsaddle ] && [ -x target/review/standin.test ] || { echo "build first"; exit 2; }
exec env CASE=waiting TROUBLE="${TROUBLE:-1}" RECORD="$here/record.txt" target/review/standin.test
