#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15, with the compiler of the
# deploy file's packages and nothing else. They are put into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for it in engine case_leaving case_endless; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review-3/$it" "review/standins-3/$it.cpp"
done
