#!/usr/bin/env bash
# Sets up and builds everything.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
cmake -B build -G Ninja >/dev/null
cmake --build build
