#!/usr/bin/env bash
# Leaves a fleet running on loopback and prints lines to try with curl.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${TMPDIR:-/tmp}/mastichollow-fleet
scripts/fleet.sh up "$dir"
# shellcheck disable=SC1091
source "$dir/env"
router=${MASTICHOLLOW_DEMO_ROUTERS%%,*}
cat <<EOF
The fleet is running; its logs are in $dir. Try:

  curl -N $router/v1/chat/completions -H 'Authorization: Bearer demo-letters' \\
    -d '{"model":"letter-writer","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Write to grandmother."}]}'

  curl -i $router/services/shop-api/orders -H 'Authorization: Bearer demo-shop' -H 'Idempotency-Key: order-1' \\
    -d '{"order":"order-1"}'

  curl -i $router/services/shop-api/orders/order-1 -H 'Authorization: Bearer demo-shop'

  source $dir/env
  bin/mastichollowctl table status
  bin/mastichollowctl vm leave letters-1

Stop it with: make down
EOF
