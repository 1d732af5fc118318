#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build-review-2
mkdir -p "$out"
for source in review/standins-2/case_*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "$out/$name" &
done
for job in $(jobs -p); do wait "$job"; done
