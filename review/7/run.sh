#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mastichollow-gate ] && [ -x target/review-lab ] || exit 2
set -m # a process group of its own, so that nothing is left behind whatever happens
GATE=$PWD/target/mastichollow-gate target/review-lab crash-stall "${RECORD:-review/7/record.txt}" &
lab=$!
trap 'kill -KILL -- "-$lab" 2>/dev/null' EXIT
trap 'kill -TERM "$lab" 2>/dev/null; wait "$lab"; exit 2' INT TERM HUP
wait "$lab"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
