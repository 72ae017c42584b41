#!/usr/bin/env bash
# Measures for a minute how the real programs share a small fleet between two
# backlogged workspaces, beside the model of mastichollow-bench.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'scripts/fleet.sh down "$dir"; rm -rf "$dir"' EXIT
export MASTICHOLLOW_ENGINE_ARGS="--token-interval 2ms --batch-slowdown 0 --first-token 0s --prefill-token 0s"
export MASTICHOLLOW_AGENT_ARGS="--interactive-slots 0"
scripts/fleet.sh up "$dir"
# shellcheck disable=SC1091
source "$dir/env"
bin/mastichollow-demo --shares
