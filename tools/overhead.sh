#!/usr/bin/env bash
# Compares one instance with direct calls to a stand-in engine in one run:
# requests per second, time to the first token, CPU time per request and resident
# memory. overhead.sh [REQUESTS] [STREAMS]
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/fleet.sh
start_demo_fleet
"$bin" topup --settings "$work/a1.ini" --id load cedar-school 100000000 >/dev/null
for e in engine-a1 engine-a2; do control $e '{"token_ms":1,"prefill_ms":5,"cached_prefill_ms":2,"capacity":64}'; done
ticks=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/$1/stat"; }
resident() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
field() { grep -oE "$1=[0-9.]+" | cut -d= -f2; }
idle_before=$(cpu "${instance_pid[a1]}")
sleep 5
idle_after=$(cpu "${instance_pid[a1]}")
awk -v c="$((idle_after - idle_before))" -v t="$ticks" 'BEGIN { printf "idle: %.2f %% of a core\n", c * 100 / t / 5 }'
requests=${1:-3000}
streams=${2:-16}
build/bench/load --url="$(url engine-a1)/v1/chat/completions" --token=x --requests=200 --streams="$streams" >/dev/null
build/bench/load --url="$(url a1)/v1/chat/completions" --token=cedar-school.cedar-secret --requests=200 --streams="$streams" >/dev/null
echo "streams=$streams requests=$requests"
bare=$(build/bench/load --url="$(url engine-a1)/v1/chat/completions" --token=x --requests="$requests" --streams="$streams")
echo "bare     $bare"
before=$(cpu "${instance_pid[a1]}")
routed=$(build/bench/load --url="$(url a1)/v1/chat/completions" --token=cedar-school.cedar-secret --requests="$requests" --streams="$streams")
after=$(cpu "${instance_pid[a1]}")
echo "routed   $routed"
awk -v b="$(echo "$bare" | field first_p50_us)" -v r="$(echo "$routed" | field first_p50_us)" \
  -v bs="$(echo "$bare" | field per_second)" -v rs="$(echo "$routed" | field per_second)" \
  -v c="$((after - before))" -v t="$ticks" -v n="$requests" -v m="$(resident "${instance_pid[a1]}")" \
  'BEGIN { printf "first token: +%d us, ratio %.2f; rate ratio %.2f; cpu a request %.0f us; resident %d KiB\n", r - b, r / b, rs / bs, c * 1e6 / t / n, m }'
