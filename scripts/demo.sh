#!/usr/bin/env bash
# Runs the demo: starts a fleet on loopback, sends requests of two workspaces
# through it, prints what was expected and seen, and stops the fleet. Exits 0
# only if all of it held.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'scripts/fleet.sh down "$dir"; rm -rf "$dir"' EXIT
scripts/fleet.sh up "$dir"
# shellcheck disable=SC1091
source "$dir/env"
bin/mastichollow-demo
