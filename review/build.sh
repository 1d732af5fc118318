#!/usr/bin/env bash
# Builds the stand-ins and the cases, each beside its source. Needs only a C++
# compiler; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" endpoint.cpp -o endpoint
for source in [1-5]/case.cpp; do
  if [ -f "$source" ]; then g++ "${flags[@]}" "$source" -o "${source%.cpp}"; fi
done
