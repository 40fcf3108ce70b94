#!/usr/bin/env bash
# Starts the demo fleet, compares answers through its hosts with answers of the
# engines called directly, and stops the fleet. Prints figures; no figure makes
# it fail.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_fleet EXIT
start_fleet
wait_ready
bin/citronload bench "$@"
