#!/usr/bin/env bash
# Reproduces the figures of docs/CAPACITY.md and docs/design: writes CSV files to
# docs/measurements and the measured commit to COMMIT. Takes several minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh >/dev/null
out=docs/measurements
git rev-parse HEAD >"$out/COMMIT"
build/bench/scale_study >"$out/scale_study.csv"
build/bench/hot_path --benchmark_min_time=0.2 --benchmark_format=csv >"$out/hot_path.csv" 2>/dev/null
build/bench/routing_study >"$out/routing_study.csv"
build/bench/budget_study >"$out/budget_study.csv"
{
  tools/overhead.sh 3000 16
  tools/overhead.sh 1000 1
} >"$out/overhead.txt"
tools/plot.sh
grep '^fit' "$out/scale_study.csv"
cat "$out/overhead.txt"
