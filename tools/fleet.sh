# Functions for scripts that run a small fleet with stand-ins on loopback; to be
# sourced. Starts processes in the background and kills each by its process ID.
bin=build/tamaracktrail
standins=build/tests/standins
work=$(mktemp -d)
pids=()
declare -A port instance_pid

stop_fleet() {
  trap - EXIT
  # Scripts shut down gracefully before this; only leftover processes still run.
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_fleet EXIT

# Prints the first loopback port from next_port on that nothing listens on.
next_port=$((20000 + RANDOM % 8000))
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; do
    next_port=$((next_port + 1))
  done
  echo "$next_port"
}
take_port() {
  port[$1]=$(free_port)
  next_port=$((next_port + 1))
}

# start_standins NAME...: starts one process with a stand-in for each NAME.
start_standins() {
  local arguments=()
  for name in "$@"; do
    take_port "$name"
    arguments+=("$name:${port[$name]}")
  done
  "$standins" "${arguments[@]}" >"$work/standins.out" 2>"$work/standins.log" &
  pids+=($!)
  for name in "$@"; do
    wait_for "http://127.0.0.1:${port[$name]}/control" -d '{}'
  done
}

# wait_for [CURL ARGUMENTS] URL [CURL ARGUMENTS]: waits until URL answers without
# an HTTP error; fails after 200 attempts 0.1 s apart.
wait_for() {
  for _ in $(seq 200); do
    curl -sf -o "$work/answer" "$@" && return 0
    sleep 0.1
  done
  echo "no successful answer within 200 attempts: $1" >&2
  tail -n 5 "$work"/*.log >&2
  return 1
}

control() { curl -sf "http://127.0.0.1:${port[$1]}/control" -d "$2" >"$work/control"; }

# write_settings NAME DATA_CENTRE PEERS: writes the settings file of an instance.
write_settings() {
  cat >"$work/$1.ini" <<END
[instance]
address = 127.0.0.1:${port[$1.peer]}
listen = 127.0.0.1:${port[$1]}
data_centre = $2
[fleet]
key_file = $work/fleet.key
peers = $3
data_centres = 2
[platform]
log_url = http://127.0.0.1:${port[log]}
list_url = http://127.0.0.1:${port[list]}
END
}

start_instance() {
  "$bin" serve --settings "$work/$1.ini" 2>>"$work/$1.log" &
  instance_pid[$1]=$!
  pids+=($!)
}

# endpoint NAME SERVICE DATA_CENTRE: prints the declaration of an endpoint.
endpoint() {
  printf '[endpoint %s]\naddress = 127.0.0.1:%s\nservice = %s\ndata_centre = %s\ncapacity = 16\nchecks_fencing = true\n' \
    "$1" "${port[$1]}" "$2" "$3"
}

# Starts three instances in two data centres, four engines and one records
# service, and publishes the first configuration.
start_demo_fleet() {
  printf 'demo-key-%s-%s' "$RANDOM" "$RANDOM$RANDOM$RANDOM" >"$work/fleet.key"
  start_standins log list weights records engine-a1 engine-a2 engine-b1 engine-b2
  for name in a1 a2 b1; do
    take_port "$name"
    take_port "$name.peer"
  done
  control list "{\"instances\":[
    {\"address\":\"127.0.0.1:${port[a1.peer]}\",\"data_centre\":\"amman-1\"},
    {\"address\":\"127.0.0.1:${port[a2.peer]}\",\"data_centre\":\"amman-1\"},
    {\"address\":\"127.0.0.1:${port[b1.peer]}\",\"data_centre\":\"amman-2\"}]}"
  write_settings a1 amman-1 ""
  write_settings a2 amman-1 ""
  write_settings b1 amman-2 ""
  cp -r examples/qasr "$work/qasr"
  mkdir -p "$work/qasr/endpoints"
  {
    endpoint engine-a1 assistant amman-1
    endpoint engine-a2 assistant amman-1
    endpoint engine-b1 assistant amman-2
    endpoint engine-b2 assistant amman-2
    endpoint records records amman-1
  } >"$work/qasr/endpoints/endpoints.ini"
  for name in a1 a2 b1; do start_instance "$name"; done
  "$bin" publish --settings "$work/a1.ini" --base 0 --author demo "$work/qasr" >"$work/version"
  for name in a1 a2 b1; do wait_for "http://127.0.0.1:${port[$name]}/readyz"; done
}

url() { echo "http://127.0.0.1:${port[$1]}"; }
