#!/usr/bin/env bash
# Fails if a Go file is not formatted or the linter has a finding.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/tools.sh
unformatted=$(git ls-files -co --exclude-standard '*.go' | grep -v -e '\.pb\.go$' -e '\.connect\.go$' | xargs gofumpt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted with gofumpt:"
  echo "$unformatted"
  exit 1
fi
golangci-lint run ./...
