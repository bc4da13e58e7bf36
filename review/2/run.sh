#!/usr/bin/env bash
# Case 2: a gateway that is stopped takes a request on a kept connection late and cuts it.
# TROUBLE=0 does the same without the stop. Exit code: 1 broken, 0 held, 2 could not run.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/cornelsaddle ] && [ -x target/review/standin.test ] || { echo "build first"; exit 2; }
exec env CASE=kept TROUBLE="${TROUBLE:-1}" RECORD="$here/record.txt" target/review/standin.test
