#!/usr/bin/env bash
# Measures the path through router and agent beside direct calls of the same
# engine, one after the other, with about 1,000 streams open at once.
#
#   MASTICHOLLOW_PATH_RATE      requests/s (default 500)
#   MASTICHOLLOW_PATH_TOKENS    tokens of an answer (default 32)
#   MASTICHOLLOW_PATH_DURATION  time in which requests are sent (default 15s)
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'scripts/fleet.sh down "$dir"; rm -rf "$dir"' EXIT
export MASTICHOLLOW_ENGINE_ARGS="--slots 4000 --token-interval 60ms --batch-slowdown 0 --first-token 50ms --prefill-token 0s"
export MASTICHOLLOW_AGENT_ARGS="--slots 3000"
scripts/fleet.sh up "$dir"
# shellcheck disable=SC1091
source "$dir/env"
# About 1,000 streams are open: rate times tokens times the interval.
readonly rate=${MASTICHOLLOW_PATH_RATE:-500} tokens=${MASTICHOLLOW_PATH_TOKENS:-32} duration=${MASTICHOLLOW_PATH_DURATION:-15s}
readonly router=${MASTICHOLLOW_DEMO_ROUTERS%%,*}
readonly base=${MASTICHOLLOW_BASE_PORT:-27100}
readonly engine=http://127.0.0.1:$((base + 3))
load() {
  bin/mastichollow-standin load --url "$1" --model letter-writer --rate "$rate" --duration "$duration" --count 20000 --open 3000 \
    --max-tokens "$tokens" --stream --workspace "demo-letters=3" --log-level error
}
# cost ADMIN: processor seconds, resident bytes and control bytes sent so far.
cost() {
  curl -fsS "http://127.0.0.1:$((base + $1))/metrics" | awk '
    /^process_cpu_seconds_total/ { cpu = $2 }
    /^process_resident_memory_bytes/ { rss = $2 }
    END { printf "cpu %.2f s, resident %.1f MB", cpu, rss / 1e6 }'
}

# The agent's fencing number keeps direct calls out once it has called.
echo "direct: $(load "$engine")"
echo "before: router $(cost 57); agent $(cost 51)"
echo "router and agent: $(load "$router")"
echo "after: router $(cost 57); agent $(cost 51)"
