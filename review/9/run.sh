#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.."
timeout -k 5 110 java -Xmx256m -cp target/review-2 LateHeartbeat "$PWD" "$PWD/review/9"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
