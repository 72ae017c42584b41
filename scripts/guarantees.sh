#!/usr/bin/env bash
# Runs the tests that docs/guarantees.tsv names and prints a line for each
# promise: "proved" when all its tests ran and passed and the page calls it so,
# "partial" or "not proved" as the page has it, and "FAILED" when a test failed,
# did not run, or is missing from docs/GUARANTEES.md.
set -euo pipefail
cd "$(dirname "$0")/.."
readonly table=docs/guarantees.tsv page=docs/GUARANTEES.md
out=$(mktemp)
trap 'rm -f "$out"' EXIT

rows() { grep -v '^#' "$table"; }
packages=$(rows | cut -f3 | grep -v '^-$' | sort -u)
names=$(rows | cut -f4 | grep -v '^-$' | cut -d/ -f1 | sort -u | paste -sd'|')
# shellcheck disable=SC2086
"${GO:-go}" test -race -count=1 -v -run "^($names)\$" $packages >"$out" 2>&1 || true

failed=0
while IFS= read -r promise; do
  verdict= missing=
  while IFS=$'\t' read -r _ fault package test status; do
    if [[ $test != - ]]; then
      grep -qF -- "--- PASS: $test (" "$out" || missing+=" $package:$test"
      grep -qF -- "$test" "$page" || missing+=" (not in $page: $test)"
    fi
    case $status in
    proved) [[ -z $verdict ]] && verdict=proved ;;
    partial) [[ $verdict != "not proved" ]] && verdict=partial ;;
    "not proved") verdict="not proved" ;;
    *) missing+=" (unknown status $status of $fault)" ;;
    esac
  done < <(rows | awk -F'\t' -v p="$promise" '$1 == p')
  if [[ -n $missing ]]; then
    failed=1
    echo "FAILED: $promise:$missing"
  else
    echo "$verdict: $promise"
  fi
done < <(rows | cut -f1 | awk '!seen[$0]++')
if ((failed)); then
  tail -50 "$out"
fi
exit "$failed"
