#!/usr/bin/env bash
# Builds the drivers and stand-ins that the scripts of this folder start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
