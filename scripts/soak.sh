#!/usr/bin/env bash
# Runs entry hosts as separate processes under faults, with fresh seeds.
#
#   scripts/soak.sh [SEEDS] [FLAG...]
#
# SOAK_SEED sets the first seed (default: the time), SOAK_PARALLEL the runs at a
# time (default: 2). Flags are those of internal/soak, such as -soak.hosts 24. A
# run that fails prints what broke, its seed and where the output of its hosts is;
# -soak.seed SEED plays its faults again. -soak.kept adds the seeds that once failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-6}
shift || true
seed=${SOAK_SEED:-$(date +%s)}
echo "soak: $seeds seeds from $seed"
go test -count=1 -timeout 60m -parallel "${SOAK_PARALLEL:-2}" ./internal/soak -soak.seed "$seed" -soak.seeds "$seeds" "$@"
