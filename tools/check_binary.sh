#!/bin/sh
# Send a query through the one-file binary and see that it started no process.
# Usage: check_binary.sh BIN-DIRECTORY BINARY
set -eu
bin=$1
binary=$2
plan=examples/kuo-hsing-small/site.yaml
settings=$(mktemp -d)
"$bin/python" "$binary" --version
"$bin/python" "$binary" make-site "$plan" "$settings"
"$bin/currantwharf" standin "$plan" >/dev/null 2>&1 &
standin=$!
"$bin/python" "$binary" serve --settings "$settings/i0.yaml" &
instance=$!
trap 'kill $instance $standin 2>/dev/null; wait $instance $standin 2>/dev/null || true; rm -rf "$settings"' EXIT
tries=0
until "$bin/python" "$binary" query grain-lookup longan --deadline-ms 2000 >/dev/null 2>&1; do
  tries=$((tries + 1))
  if [ $tries -ge 40 ]; then echo "the binary gave no answer" >&2; exit 1; fi
  sleep 0.5
done
"$bin/python" "$binary" query grain-lookup longan --deadline-ms 2000
children=$(ps -o pid= --ppid $instance | wc -l)
echo "processes that the instance started: $children"
[ "$children" -eq 0 ]
