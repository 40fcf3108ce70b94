#!/usr/bin/env bash
# Runs all tests with fixed seeds, but those that KNOWN-RED.txt names, and
# prints that file.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -f KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  # go test matches the name of a test and those of its subtests each on its own.
  names=$(awk '$1 == "test" { gsub("/", "$/^", $2); print "^" $2 "$" }' KNOWN-RED.txt | paste -sd '|')
  [ -z "$names" ] || skip=(-skip "$names")
fi
CITRON_SEED=${SEED:-1} go test ./... -count=1 -timeout 20m "${skip[@]}"
