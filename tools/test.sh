#!/usr/bin/env bash
# Builds and runs all tests but the known failures: unit tests, randomised runs
# with fixed seeds, and runs with real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
build/tamaracktrail check examples/qasr/*/*.ini
build/read_ledger
known_red=$(sed -n 's/^unit_tests: \([A-Za-z0-9_.\/]*\):.*/\1/p' KNOWN-RED.txt | paste -sd: -)
build/tests/unit_tests --gtest_brief=1 --gtest_filter="*-$known_red"
tools/faults.sh
build/tests/process_soak --seed=1 --runs=2 --seconds=5
tools/known_red.sh
