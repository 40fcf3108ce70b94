#!/usr/bin/env bash
# Formats all Go files that are not generated.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/tools.sh
git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$' -e '\.connect\.go$' | xargs gofumpt -w
