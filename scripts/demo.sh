#!/usr/bin/env bash
# Starts the demo fleet, sends the demo mix and stops the fleet. Exits 0 only
# if every answer was whole and the booking ran once.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_fleet EXIT
start_fleet
wait_ready
bin/citronload demo --platform "127.0.0.1:$((FLEET_SHIFT + 9000))"
