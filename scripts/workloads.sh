#!/usr/bin/env bash
# Starts a fleet with ten teams, runs the workloads named by their files (all
# of them if none is named), writes reports and plots to out/workloads and stops
# the fleet. Prints figures; no figure makes it fail.
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_CONFIG=${FLEET_CONFIG:-workloads/fleet.toml}
. scripts/fleet.sh
if [ $# = 0 ]; then
  for file in workloads/*.toml; do
    [ "$file" = workloads/fleet.toml ] || set -- "$@" "$file"
  done
fi
trap stop_fleet EXIT
start_fleet
wait_ready
for file in "$@"; do
  bin/citronload run --teams workloads/teams.txt --out "out/workloads/$(basename "$file" .toml)" "$file"
done
