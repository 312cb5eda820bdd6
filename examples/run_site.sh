#!/bin/sh
# Start the stand-ins and the instances of a site, run a command, stop them by id.
# Usage: run_site.sh BIN-DIRECTORY SITE COMMAND...
bin=$1
site=$2
shift 2
here=$(dirname "$0")
logs=$(mktemp -d)
pids=""
stop() {
  for pid in $pids; do kill "$pid" 2>/dev/null; done
  for pid in $pids; do wait "$pid" 2>/dev/null; done
  rm -rf "$logs"
}
trap stop EXIT
trap 'exit 130' INT TERM
"$bin/currantwharf" standin --site "$site" >"$logs/standin.log" 2>&1 &
pids="$pids $!"
for settings in "$here/$site"/i*.yaml; do
  "$bin/currantwharf" serve --settings "$settings" \
    >"$logs/$(basename "$settings").log" 2>&1 &
  pids="$pids $!"
done
"$@"
code=$?
if [ $code -ne 0 ]; then cat "$logs"/*.log >&2; fi
exit $code
