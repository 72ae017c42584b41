#!/usr/bin/env bash
# Starts or stops a small fleet on loopback: one platform, three engines, one
# plain service that three agents stand beside as if it had three instances over
# one database, three routers and six agents in three failure domains.
#
#   scripts/fleet.sh up DIR      start; state and logs go to DIR
#   scripts/fleet.sh down DIR    stop the processes that up started, by ID
#
# MASTICHOLLOW_BASE_PORT is the first of about 60 ports (default 27100);
# MASTICHOLLOW_ENGINE_ARGS and MASTICHOLLOW_AGENT_ARGS are further arguments of
# the engines and of the letter agents.
set -euo pipefail

readonly action=${1:?up or down} dir=${2:?directory}
readonly root=$(cd "$(dirname "$0")/.." && pwd)
readonly bin=$root/bin
readonly base=${MASTICHOLLOW_BASE_PORT:-27100}
readonly ready_tries=200 # of 0.1 s
readonly stop_tries=150  # of 0.1 s

# start NAME PROGRAM ARGS...: starts a process and notes its ID.
start() {
  local name=$1
  shift
  "$bin/$1" "${@:2}" >"$dir/$name.out" 2>"$dir/$name.log" &
  echo "$! $name" >>"$dir/pids"
}

addr() { echo "127.0.0.1:$((base + $1))"; }

# wait_for URL: waits until URL answers with success.
wait_for() {
  local i
  for ((i = 0; i < ready_tries; i++)); do
    if curl -fsS -o "$dir/ready" "$1" 2>"$dir/ready.err"; then return; fi
    sleep 0.1
  done
  echo "not ready: $1: $(cat "$dir/ready" "$dir/ready.err" 2>/dev/null)" >&2
  return 1
}

# vm ID ADDR ROLE DOMAIN [POOL KIND]: prints an entry of the VM list.
vm() {
  printf '{"id":"%s","addr":"%s","role":"%s","region":"r%s","domain":"d%s","pool":"%s","kind":"%s","state":"live"}' \
    "$1" "$2" "$3" "$4" "$4" "${5:-}" "${6:-}"
}

vm_list() {
  local d sep=
  echo '['
  for d in 1 2 3; do
    printf '%s' "$sep"
    vm "router-$d" "$(addr $((20 + d)))" router "$d" && echo ,
    vm "letters-$d" "$(addr $((30 + d)))" agent "$d" letter-writer model && echo ,
    vm "shop-$d" "$(addr $((40 + d)))" agent "$d" shop-api service && echo
    sep=,
  done
  echo ']'
}

# start_agent ID DOMAIN POOL KIND TARGET LISTEN ADMIN
start_agent() {
  start "$1" mastichollow-agent --id "$1" --domain "d$2" --region "r$2" --pool "$3" --kind "$4" \
    --target-url "http://$5" --listen "$6" --admin "$7" --slots 4 "${@:8}"
}

up() {
  local d
  mkdir -p "$dir"
  if [[ -s $dir/pids ]]; then
    echo "a fleet is already running: $dir/pids" >&2
    return 1
  fi
  : >"$dir/pids"
  vm_list >"$dir/vms.json"
  MASTICHOLLOW_FLEET_KEY=$("$bin/mastichollowctl" fleet-key new)
  export MASTICHOLLOW_FLEET_KEY
  export MASTICHOLLOW_TABLE_URL=http://$(addr 0) MASTICHOLLOW_VMS_URL=http://$(addr 0) MASTICHOLLOW_OBJECTS_URL=http://$(addr 0)

  start platform mastichollow-standin platform --listen "$(addr 0)" --admin-listen "$(addr 1)" --vms "$dir/vms.json"
  for d in 1 2 3; do
    start "engine-$d" mastichollow-standin engine --listen "$(addr $((2 + d)))" --admin-listen "$(addr $((6 + d)))" \
      ${MASTICHOLLOW_ENGINE_ARGS:-}
  done
  start service mastichollow-standin service --listen "$(addr 10)" --admin-listen "$(addr 14)"
  wait_for "http://$(addr 0)/vms"
  "$bin/mastichollowctl" table apply --against 0 "$root/examples/workspaces.csv" >"$dir/apply.out"
  for d in 1 2 3; do
    start_agent "letters-$d" "$d" letter-writer model "$(addr $((2 + d)))" "$(addr $((30 + d)))" "$(addr $((50 + d)))" \
      ${MASTICHOLLOW_AGENT_ARGS:-}
    start_agent "shop-$d" "$d" shop-api service "$(addr 10)" "$(addr $((40 + d)))" "$(addr $((53 + d)))"
    start "router-$d" mastichollow-router --id "router-$d" --domain "d$d" --region "r$d" \
      --listen "$(addr $((16 + d)))" --fleet-listen "$(addr $((20 + d)))" --admin "$(addr $((56 + d)))"
  done
  for d in 1 2 3; do
    wait_for "http://$(addr $((50 + d)))/readyz"
    wait_for "http://$(addr $((53 + d)))/readyz"
    wait_for "http://$(addr $((56 + d)))/readyz"
  done
  write_env
}

# write_env writes the settings for mastichollowctl and mastichollow-demo.
write_env() {
  cat >"$dir/env" <<EOF
export MASTICHOLLOW_TABLE_URL=$MASTICHOLLOW_TABLE_URL
export MASTICHOLLOW_VMS_URL=$MASTICHOLLOW_VMS_URL
export MASTICHOLLOW_DEMO_ROUTERS=http://$(addr 17),http://$(addr 18),http://$(addr 19)
export MASTICHOLLOW_DEMO_ENGINES=http://$(addr 7),http://$(addr 8),http://$(addr 9)
export MASTICHOLLOW_DEMO_SERVICE=http://$(addr 14)
export MASTICHOLLOW_DEMO_AGENTS=http://$(addr 51),http://$(addr 52),http://$(addr 53)
export MASTICHOLLOW_DEMO_MEMBERS=$(for d in {51..59}; do printf 'http://%s,' "$(addr "$d")"; done | sed 's/,$//')
EOF
}

# stop_group PATTERN: stops the processes whose names match and waits for them.
stop_group() {
  local pid name i
  local -A group=()
  while read -r pid name; do
    if [[ $name =~ $1 ]] && kill -TERM "$pid" 2>/dev/null; then group[$pid]=$name; fi
  done <"$dir/pids"
  for pid in "${!group[@]}"; do
    for ((i = 0; i < stop_tries; i++)); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.1
    done
    if kill -0 "$pid" 2>/dev/null; then
      echo "${group[$pid]} ($pid) did not stop and is killed" >&2
      kill -KILL "$pid"
    fi
  done
}

# down stops the routers first, so that they finish while the agents and targets
# still run, then the agents, then the stand-ins.
down() {
  [[ -f $dir/pids ]] || return 0
  stop_group '^router-'
  stop_group '^(letters|shop)-'
  stop_group .
  rm -f "$dir/pids"
}

case $action in
up)
  trap 'down' ERR
  set -E
  up
  ;;
down) down ;;
*) echo "unknown action $action" >&2 && exit 2 ;;
esac
