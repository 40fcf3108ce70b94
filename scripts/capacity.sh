#!/usr/bin/env bash
# Measures what control costs on real processes, for docs/CAPACITY.md:
#   scripts/capacity.sh rest HOSTS ENGINES SECONDS
#   scripts/capacity.sh spread HOSTS TEAMS
# rest prints the mean per host of processor time, resident memory and bytes on
# the connections between hosts and to engines. spread publishes a document with
# that many teams twice and prints when the hosts accepted it. Needs ss and curl.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=$1
export FLEET_HOSTS=$2 FLEET_ENGINES=4 FLEET_SHIFT=20000 FLEET_DIR=out/capacity
[ "$mode" = rest ] && FLEET_ENGINES=$3
. scripts/fleet.sh
trap stop_fleet EXIT

host_pids() { for i in $(seq "$FLEET_HOSTS"); do cat "$FLEET_DIR/host-$i.pid"; done; }

cpu_ticks() { for pid in $(host_pids); do cat "/proc/$pid/stat"; done | awk '{ sum += $14 + $15 } END { print sum }'; }

resident_kib() { for pid in $(host_pids); do cat "/proc/$pid/status"; done | awk '/^VmRSS/ { sum += $2 } END { print sum }'; }

# sent_on LOW HIGH prints bytes and segments sent by both ends of all
# connections with a port in the range.
sent_on() {
  ss -tinH state established | awk -v low="$1" -v high="$2" '
    NR % 2 == 1 { n = split($3, a, ":"); m = split($4, b, ":"); l = a[n] + 0; r = b[m] + 0
                  counted = (l >= low && l <= high) || (r >= low && r <= high) }
    NR % 2 == 0 && counted {
      if (match($0, /bytes_sent:[0-9]+/)) bytes += substr($0, RSTART + 11, RLENGTH - 11)
      if (match($0, /segs_out:[0-9]+/)) segments += substr($0, RSTART + 9, RLENGTH - 9) }
    END { print bytes + 0, segments + 0 }'
}

rest() {
  local seconds=$1 cpu peers engines
  cpu=$(cpu_ticks)
  peers=$(sent_on 28181 28280)
  engines=$(sent_on 29101 29200)
  sleep "$seconds"
  echo "$cpu $(cpu_ticks) $peers $(sent_on 28181 28280) $engines $(sent_on 29101 29200) $(resident_kib) $FLEET_HOSTS $seconds" | awk '{
    per = $12 * $13
    printf "hosts=%d cpu=%.2f%% resident=%.1fMiB peers=%.0fB/s peer-segments=%.1f/s engines=%.0fB/s\n",
      $12, ($2 - $1) / per, $11 / $12 / 1024, 2 * ($5 - $3) / per, 2 * ($6 - $4) / per, ($9 - $7) / per }'
}

document() { # REVISION TEAMS
  awk -v teams="$2" -v revision="$1" '
    { print }
    $0 == "[teams]" { for (i = 0; i < teams; i++) printf "team-%d = \"%021dA\"\n", i, i }
    END { print "# revision " revision }' "$FLEET_CONFIG"
}

publish() { # REVISION TEAMS
  document "$1" "$2" >"$FLEET_DIR/document.toml"
  date +%s%3N
  curl -s -o /dev/null --data-binary "@$FLEET_DIR/document.toml" "http://127.0.0.1:$((FLEET_SHIFT + 9000))/control/publish?revision=$1"
}

spread() { # REVISION PUBLISHED_MS
  cat "$FLEET_DIR"/host-*.log | grep '"event":300,' | grep "\"revision\":$1," | sed 's/.*"time":\([0-9]*\).*/\1/' | sort -n | awk -v t="$2" -v revision="$1" '
    { at[NR] = $1 - t } END { printf "revision=%d accepted=%d first=%dms median=%dms last=%dms\n", revision, NR, at[1], at[int((NR + 1) / 2)], at[NR] }'
}

start_fleet
wait_ready
sleep 4
if [ "$mode" = rest ]; then
  rest "$4"
else
  for revision in 2 3; do
    published=$(publish "$revision" "$3")
    sleep 9
    spread "$revision" "$published"
  done
fi
