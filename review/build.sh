#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/build/. Needs only a C++
# compiler; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -Istandin)
g++ "${flags[@]}" standin/endpoint.cpp -o build/endpoint
for source in [1-5]/case.cpp; do
  if [ -f "$source" ]; then g++ "${flags[@]}" "$source" -o "build/case${source%%/*}"; fi
done
