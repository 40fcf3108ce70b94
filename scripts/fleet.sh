# Sourced by other scripts: starts and stops the demo fleet on loopback.
# Every process is stopped by its process id.
FLEET_DIR=${FLEET_DIR:-out/demo}
FLEET_HOSTS=${FLEET_HOSTS:-3}
FLEET_ENGINES=${FLEET_ENGINES:-4}
FLEET_CAPACITY=${FLEET_CAPACITY:-480000}
FLEET_CONFIG=${FLEET_CONFIG:-deploy/demo/fleet.toml}
FLEET_SETTINGS=${FLEET_SETTINGS:-} # added to the settings of every host
FLEET_REPORT_LAG=${FLEET_REPORT_LAG:-200ms}
FLEET_SHIFT=${FLEET_SHIFT:-0} # added to every port
FLEET_MODEL=citron-base
FLEET_TEAMS="pallets returns resurfacing"
FLEET_PIDS=()

start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.log" 2>&1 &
  FLEET_PIDS+=($!)
  echo $! >"$FLEET_DIR/$name.pid"
}

host_list() {
  local i separator=""
  printf '{"entries":['
  for i in $(seq "$FLEET_HOSTS"); do
    printf '%s{"name":"host-%d","role":"host","address":"127.0.0.1:%d","peer_address":"127.0.0.1:%d","failure_domain":"domain-%d"}' \
      "$separator" "$i" $((FLEET_SHIFT + 8080 + i)) $((FLEET_SHIFT + 8180 + i)) $(((i - 1) % 3 + 1))
    separator=","
  done
  for i in $(seq "$FLEET_ENGINES"); do
    printf ',{"name":"engine-%d","role":"engine","address":"127.0.0.1:%d","failure_domain":"domain-%d","model":"%s","checks_fence":%s}' \
      "$i" $((FLEET_SHIFT + 9100 + i)) $(((i - 1) % 3 + 1)) "$FLEET_MODEL" "$([ $((i % 2)) = 0 ] && echo true || echo false)"
  done
  for i in 1 2; do
    printf ',{"name":"booking-%d","role":"service","address":"127.0.0.1:%d","failure_domain":"domain-%d","service":"booking"}' "$i" $((FLEET_SHIFT + 9200 + i)) "$i"
  done
  printf ',{"name":"stock-1","role":"service","address":"127.0.0.1:%d","failure_domain":"domain-1","service":"stock"}]}' $((FLEET_SHIFT + 9211))
}

host_settings() { # NUMBER
  cat <<TOML
[host]
name = "host-$1"
failure_domain = "domain-$((($1 - 1) % 3 + 1))"

[listen]
callers = "127.0.0.1:$((FLEET_SHIFT + 8080 + $1))"
peers = "127.0.0.1:$((FLEET_SHIFT + 8180 + $1))"
operators = "127.0.0.1:$((FLEET_SHIFT + 8280 + $1))"

[platform]
config = ["127.0.0.1:$((FLEET_SHIFT + 9000))"]
host_list = ["127.0.0.1:$((FLEET_SHIFT + 9000))"]

$FLEET_SETTINGS
TOML
}

start_fleet() {
  local i fence
  mkdir -p "$FLEET_DIR"
  rm -f "$FLEET_DIR"/*.pid "$FLEET_DIR"/*.log
  host_list >"$FLEET_DIR/hosts.json"
  start_process platform bin/citronstub platform --listen 127.0.0.1:$((FLEET_SHIFT + 9000)) --config "$FLEET_CONFIG" --hosts "$FLEET_DIR/hosts.json"
  for i in $(seq "$FLEET_ENGINES"); do
    fence=()
    [ $((i % 2)) = 0 ] && fence=(--checks-fence)
    start_process "engine-$i" bin/citronstub engine --listen 127.0.0.1:$((FLEET_SHIFT + 9100 + i)) --name "engine-$i" --model "$FLEET_MODEL" \
      --capacity "$FLEET_CAPACITY" --report-lag "$FLEET_REPORT_LAG" --weight-store 127.0.0.1:$((FLEET_SHIFT + 9000)) --seed "$i" "${fence[@]}"
  done
  for i in 1 2; do
    start_process "booking-$i" bin/citronstub service --listen 127.0.0.1:$((FLEET_SHIFT + 9200 + i)) --name "booking-$i"
  done
  start_process stock-1 bin/citronstub service --listen 127.0.0.1:$((FLEET_SHIFT + 9211)) --name stock-1
  for i in $(seq "$FLEET_HOSTS"); do
    host_settings "$i" >"$FLEET_DIR/host-$i.toml"
    start_process "host-$i" bin/citrond --settings "$FLEET_DIR/host-$i.toml"
  done
}

host_ready() { # OPERATOR_PORT
  local status=""
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /readyz HTTP/1.0\r\n\r\n' >&3
  read -r status <&3 || true
  exec 3>&-
  [[ $status == *" 200 "* ]]
} 2>/dev/null

wait_ready() {
  local i tries
  for i in $(seq "$FLEET_HOSTS"); do
    tries=0
    until host_ready $((FLEET_SHIFT + 8280 + i)); do
      tries=$((tries + 1))
      if [ "$tries" -gt 600 ]; then
        echo "host-$i did not become ready; last lines of its log:" >&2
        tail -5 "$FLEET_DIR/host-$i.log" >&2
        return 1
      fi
      sleep 0.1
    done
  done
  fleet_alive
}

# fleet_alive fails if a process of the fleet has ended.
fleet_alive() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "a process of the fleet ended; last lines of the logs:" >&2
      tail -n 2 "$FLEET_DIR"/*.log >&2
      return 1
    fi
  done
}

print_teams() {
  local team
  for team in $FLEET_TEAMS; do
    echo "team=$team token=demo-token-$team"
  done
}

stop_fleet() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${FLEET_PIDS[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
}
