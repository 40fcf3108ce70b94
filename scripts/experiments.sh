#!/usr/bin/env bash
# Runs one workload under several balancing policies and seeds, each with a
# fresh fleet, and prints a table of medians and spreads.
#
#   scripts/experiments.sh WORKLOAD [citronload run options]
#
# POLICIES and SEEDS choose what is run; FLEET_HOSTS, FLEET_ENGINES and
# FLEET_REPORT_LAG the fleet. Prints figures; no figure makes it fail.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_HOSTS=${FLEET_HOSTS:-18}
FLEET_ENGINES=${FLEET_ENGINES:-20}
FLEET_CONFIG=${FLEET_CONFIG:-workloads/fleet.toml}
. scripts/fleet.sh
POLICIES=${POLICIES:-"cost-aware random round-robin least-in-flight better-of-two"}
SEEDS=${SEEDS:-"1 2 3"}
workload=$1
shift
name=$(basename "$workload" .toml)
results=${RESULTS:-out/experiments/$name-lag-$FLEET_REPORT_LAG}

# policy_settings prints the host settings of a policy. Baselines run without
# leases, queue and priorities; a name such as cost-aware,no-leases switches one
# mechanism off.
policy_settings() {
  local policy=${1%%,*} switches=,${1#*,},
  local leases=true fair_queue=true priorities=true
  [ "$policy" = cost-aware ] || { leases=false fair_queue=false priorities=false; }
  case $switches in *,no-leases,*) leases=false ;; esac
  case $switches in *,no-queue,*) fair_queue=false ;; esac
  case $switches in *,no-priorities,*) priorities=false ;; esac
  case $switches in *,priorities,*) priorities=true ;; esac
  printf '[placement]\npolicy = "%s"\nleases = %s\nfair_queue = %s\npriorities = %s\n' "$policy" "$leases" "$fair_queue" "$priorities"
}

trap stop_fleet EXIT
for seed in $SEEDS; do
  for policy in $POLICIES; do
    FLEET_PIDS=()
    FLEET_SETTINGS=$(policy_settings "$policy")
    start_fleet
    wait_ready
    bin/citronload run --platform "127.0.0.1:$((FLEET_SHIFT + 9000))" --teams workloads/teams.txt --seed "$seed" \
      --out "$results/$policy/$seed" "$@" "$workload" >"$FLEET_DIR/run.txt"
    sed -n 2,4p "$FLEET_DIR/run.txt"
    stop_fleet
  done
done
bin/citronload compare "$results"
