#!/usr/bin/env bash
# Installs missing packages and builds all targets.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
cmake -B build -G Ninja >/dev/null
cmake --build build
