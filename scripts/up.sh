#!/usr/bin/env bash
# Starts the demo fleet and keeps it running until SIGINT or SIGTERM.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
stopping() {
  trap '' INT TERM
  stop_fleet
  exit 0
}
trap stopping INT TERM
start_fleet
wait_ready || { stop_fleet; exit 1; }
print_teams
echo ready
wait
