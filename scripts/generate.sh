#!/usr/bin/env bash
# Regenerates the protocol code under api/. Needs protoc, protoc-gen-go and
# protoc-gen-connect-go on the PATH. The build itself needs none of them.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I api --go_out=api --go_opt=paths=source_relative \
  --connect-go_out=api --connect-go_opt=paths=source_relative \
  api/peer/v1/peer.proto api/load/v1/load.proto api/operator/v1/operator.proto
