#!/usr/bin/env bash
# Runs the case named by the first argument in the folder named by the second one, of the repository.
# It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cornelsaddle ] && [ -x target/review3 ] || { echo "not built: deploy/system.toml, review/build-3.sh"; exit 2; }
CASE=$1 CASE_DIR=$2 PROGRAM=target/cornelsaddle TROUBLE=${TROUBLE:-1} timeout -k 5 110 target/review3
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
