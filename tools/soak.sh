#!/usr/bin/env bash
# soak.sh SECONDS [SEED]: executes randomised runs for SECONDS, with seeds from
# SEED on (default 1).
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
exec build/tests/soak --seconds="$1" --seed="${2:-1}"
