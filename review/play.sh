#!/usr/bin/env bash
# play.sh CASE FOLDER: plays a case against the daemon of the deploy file and writes FOLDER/record.txt.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2

# The command of the deploy file, without the path of the settings file at its end.
run=$(sed -n 's/^run = "\(.*\) [^ ]*"$/\1/p' deploy/system.toml)
template=$(sed -n 's/^template = "\(.*\)"$/\1/p' deploy/system.toml)
read -r -a command <<<"$run"
for program in target/player "${command[0]:-}"; do
  if [ ! -x "$program" ]; then
    echo "not built: ${program:-the program of the deploy file}" >&2
    exit 2
  fi
done

dir=$(mktemp -d) || exit 2
cleanup() {
  # The player ends the daemon itself, unless it was killed.
  if [ -f "$dir/daemon.pid" ]; then
    kill -9 "$(cat "$dir/daemon.pid")" 2>/dev/null || true
  fi
  rm -rf "$dir"
}
trap cleanup EXIT

trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
timeout -k 5 110 target/player --case "$name" --dir "$dir" --record "$folder/record.txt" --template "$template" \
  --trouble="$trouble" "${command[@]}"
code=$?
if [ "$code" -gt 2 ]; then
  code=2
fi
exit "$code"
