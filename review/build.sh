#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 "${GO:-go}" build -o review/bin/case ./review/_cases
