#!/usr/bin/env bash
# A host is killed and started again a moment after a replica has left. See claim.txt.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/citronrelay ] || exit 2
exec timeout -k 5 110 review/bin/standin stale "$folder/record.txt"
