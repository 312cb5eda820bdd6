#!/bin/sh
# Start the stand-ins and instances of a site, run a command, then stop them by process id.
# Usage: run_site.sh BIN-DIRECTORY PLAN COMMAND...
# SERVE=baseline starts baseline instances instead of those of the product.
bin=$1
plan=$2
shift 2
work=$(mktemp -d)
pids=""
stop() {
  for pid in $pids; do kill "$pid" 2>/dev/null; done
  for pid in $pids; do wait "$pid" 2>/dev/null; done
  rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM
"$bin/currantwharf" make-site "$plan" "$work" || exit 3
"$bin/currantwharf" standin "$plan" >"$work/standin.log" 2>&1 &
pids="$pids $!"
for settings in "$work"/i*.yaml; do
  "$bin/currantwharf" "${SERVE:-serve}" --settings "$settings" \
    >"$settings.log" 2>&1 &
  pids="$pids $!"
done
"$@"
code=$?
if [ $code -ne 0 ]; then cat "$work"/*.log >&2; fi
exit $code
