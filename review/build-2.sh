#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. The daemons are built by the line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/player2 ./review/_player2
