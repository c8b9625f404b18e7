#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/player3 ./review/_player3
