#!/usr/bin/env bash
# soak.sh SECONDS [SEED]: the randomised runs for a time, from a seed on.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
exec build/tests/soak --seconds="$1" --seed="${2:-1}"
