#!/usr/bin/env bash
# Runs every test with the race detector, except those in KNOWN-RED.txt, which
# it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
red=$(grep -v '^#' KNOWN-RED.txt | sed '/^[[:space:]]*$/d' || true)
skip=()
if [[ -n $red ]]; then
  echo "Known to fail (KNOWN-RED.txt), not run:"
  echo "$red"
  names=$(cut -d'|' -f1 <<<"$red" | tr -d ' ' | sed 's,/,$/^,g' | paste -sd'|')
  skip=(-skip "^($names)\$")
fi
exec "${GO:-go}" test -race -count=1 "${skip[@]}" ./...
