#!/usr/bin/env bash
# Breaks a copy of the code in the ways of scripts/mutants.tsv, one at a time,
# and checks that the named test fails on each. A mutant that survives, does not
# apply or does not compile is an error.
#
#   scripts/mutants.sh [PATTERN]    only mutants whose names match
set -euo pipefail
cd "$(dirname "$0")/.."
readonly go=${GO:-go} table=$PWD/scripts/mutants.tsv pattern=${1:-.}
dir=$(mktemp -d)
trap 'git worktree remove --force "$dir/tree"; rm -rf "$dir"' EXIT
git worktree add -q --detach "$dir/tree" HEAD
cd "$dir/tree"

failed=0
while IFS=$'\t' read -r name file substitution package test; do
  [[ $name == \#* || ! $name =~ $pattern ]] && continue
  perl -0pi -e "$substitution" "$file"
  if git diff --quiet; then
    verdict="DOES NOT APPLY"
  elif ! "$go" vet "./$(dirname "$file")" >"$dir/out" 2>&1; then
    verdict="DOES NOT COMPILE"
  elif "$go" test -count=1 -timeout 120s -run "^$test\$" "$package" >"$dir/out" 2>&1; then
    verdict=SURVIVED
  else
    verdict=killed
  fi
  [[ $verdict == killed ]] || failed=1
  echo "$verdict: $name ($test)"
  git checkout -q .
done <"$table"
exit "$failed"
