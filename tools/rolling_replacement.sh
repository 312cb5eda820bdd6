#!/bin/sh
# Replace the instances of a site one after the other under load and print the results.
# Usage: rolling_replacement.sh BIN-DIRECTORY PLAN EXPERIMENT
set -eu
bin=$1
plan=$2
experiment=$3
work=$(mktemp -d)
"$bin/currantwharf" make-site "$plan" "$work"
"$bin/currantwharf" standin "$plan" >/dev/null 2>&1 &
pids=$!
start() {
  "$bin/currantwharf" serve --settings "$1" >>"$1.log" 2>&1 &
  echo $! >"$1.pid"
}
for settings in "$work"/i*.yaml; do start "$settings"; done
trap 'for f in "$work"/*.pid; do kill "$(cat "$f")" 2>/dev/null; done; kill $pids; rm -rf "$work"' EXIT
"$bin/currantwharf" bench "$experiment" &
bench=$!
sleep 20
for settings in "$work"/i*.yaml; do
  pid=$(cat "$settings.pid")
  kill -TERM "$pid"
  code=0
  wait "$pid" || code=$?
  echo "$(basename "$settings" .yaml) stopped with exit code $code"
  start "$settings"
  sleep 5
done
wait $bench
