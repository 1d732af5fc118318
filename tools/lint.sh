#!/usr/bin/env bash
# Checks formatting and runs the linter on all sources.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh
git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
cmake -B build -G Ninja >/dev/null
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'examples/*.cpp' 'bench/*.cpp' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>build/tidy.log ||
  { cat build/tidy.log; exit 1; }
