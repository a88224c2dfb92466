#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/second/...
