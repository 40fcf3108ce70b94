#!/usr/bin/env bash
# Runs the stateful fuzz tests with fresh seeds and more histories.
#
#   scripts/fuzz.sh [ROUNDS] [PACKAGE...]
#
# Each round prints its seed; a failing round prints the command that repeats
# it. CITRON_SEED sets the first seed (default: the time), CITRON_CHECKS the
# histories of each test (default: 2000), FUZZ_TIMEOUT the time of one round.
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
shift || true
checks=${CITRON_CHECKS:-2000}
timeout=${FUZZ_TIMEOUT:-10m}
seed=${CITRON_SEED:-$(date +%s)}
packages=("$@")
if [ ${#packages[@]} -eq 0 ]; then
  mapfile -t packages < <(git grep -l 'pgregory.net/rapid' -- '*_test.go' | xargs -n1 dirname | sort -u | sed 's|^|./|')
fi
failed=0
for round in $(seq "$rounds"); do
  echo "round $round of $rounds: CITRON_SEED=$seed CITRON_CHECKS=$checks"
  if ! CITRON_SEED=$seed CITRON_CHECKS=$checks go test -count=1 -p 2 -timeout "$timeout" "${packages[@]}"; then
    failed=$((failed + 1))
    echo "FAILED; repeat with: CITRON_SEED=$seed CITRON_CHECKS=$checks go test -count=1 ${packages[*]}"
  fi
  seed=$((seed + 1))
done
echo "fuzz: $rounds rounds, $failed failed"
[ "$failed" -eq 0 ]
