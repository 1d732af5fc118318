#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
# ODD names the place: chunk-size, chunk-extension, trailer, trailers.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
cd "$top" || exit 2
[ -x target/tamaracktrail ] && [ -x review/3/case ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 review/3/case target/tamaracktrail review/endpoint \
  "$folder" "$here/record.txt" "${TROUBLE:-1}" "${ODD:-chunk-size}"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
