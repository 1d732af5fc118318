#!/usr/bin/env bash
# Installs the packages of tools/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done < tools/packages.txt
if ((${#missing[@]} > 0)); then
  sudo=$([ "$(id -u)" = 0 ] && echo "" || echo sudo)
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}"
fi
