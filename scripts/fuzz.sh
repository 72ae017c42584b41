#!/usr/bin/env bash
# Runs each fuzz test of the repository for FUZZTIME.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly go=${GO:-go} fuzztime=${FUZZTIME:-3s}
grep -rl --include='*_test.go' '^func Fuzz' internal platform cmd | sort | while read -r file; do
  for name in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\)(.*/\1/p' "$file"); do
    "$go" test -run '^$' -fuzz "^$name\$" -fuzztime "$fuzztime" -fuzzminimizetime 1x -parallel 4 "./$(dirname "$file")" </dev/null
  done
done
