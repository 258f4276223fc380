#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
RECORD="$PWD/record.txt" timeout 118 node test.mjs
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
