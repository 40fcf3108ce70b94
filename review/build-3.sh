#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/standin3 ./review/standin3
