#!/usr/bin/env bash
# Draws docs/measurements/routing_study.svg from routing_study.csv: the 95th
# percentile of the time to the first token by load and endpoint choice, on a
# logarithmic scale.
set -euo pipefail
cd "$(dirname "$0")/.."
awk -F, '
  function x(load) { return 70 + (load - 0.6) / 0.9 * 430 }
  function y(ms) { return 300 - (log(ms) - log(100)) / (log(100000) - log(100)) * 260 }
  BEGIN {
    print "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"350\" font-family=\"sans-serif\" font-size=\"12\">"
    print "<rect width=\"720\" height=\"350\" fill=\"white\"/>"
    print "<text x=\"70\" y=\"22\">95th percentile of the first token (ms) by load, routing study</text>"
    for (t = 100; t <= 100000; t *= 10) {
      printf "<line x1=\"70\" x2=\"500\" y1=\"%d\" y2=\"%d\" stroke=\"#ddd\"/><text x=\"64\" y=\"%d\" text-anchor=\"end\">%d</text>\n", y(t), y(t), y(t) + 4, t
    }
    printf "<line x1=\"70\" x2=\"500\" y1=\"%d\" y2=\"%d\" stroke=\"#a00\" stroke-dasharray=\"4\"/><text x=\"506\" y=\"%d\" fill=\"#a00\">target 1100</text>\n", y(1100), y(1100), y(1100) + 4
    n = split("random least_loaded affinity affinity_queue_sharers8_full1.50", names, " ")
    split("#777 #07a #c60 #080", colours, " ")
    split("random,least loaded,affinity alone,chosen", labels, ",")
    for (i = 1; i <= n; ++i) at[names[i]] = i
  }
  $2 in at { i = at[$2]; points[i] = points[i] " " x($1) "," y($5); last[i] = y($5); loads[$1] = 1 }
  END {
    for (l in loads) printf "<text x=\"%d\" y=\"320\" text-anchor=\"middle\">%s</text>\n", x(l), l
    print "<text x=\"285\" y=\"340\" text-anchor=\"middle\">load (arrivals over capacity)</text>"
    for (i = 1; i <= n; ++i)
      printf "<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/><rect x=\"590\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/><text x=\"606\" y=\"%d\">%s</text>\n", points[i], colours[i], 40 + 18 * i, colours[i], 50 + 18 * i, labels[i]
    print "</svg>"
  }' docs/measurements/routing_study.csv >docs/measurements/routing_study.svg
