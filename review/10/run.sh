#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mastichollow-gate ] && [ -x target/review-lab ] || exit 2
GATE=$PWD/target/mastichollow-gate exec target/review-lab herd-count "review/10/record.txt"
