#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=target/review-3/case_endless
[ -x "$case" ] && [ -x target/tamaracktrail ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 "$case" target/tamaracktrail target/review-3/engine \
  "$folder" review/11/record.txt
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
