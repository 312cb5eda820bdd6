#!/bin/sh
# Send a query through the one-file binary and see that it started no process.
# Usage: check_binary.sh BIN-DIRECTORY BINARY
set -eu
bin=$1
binary=$2
# The interpreter below the virtual environment, without any installed library.
bare="$("$bin/python" -c 'import sys; print(sys._base_executable)') -I -S"
plan=examples/kuo-hsing-small/site.yaml
settings=$(mktemp -d)
$bare "$binary" --version
$bare "$binary" make-site "$plan" "$settings"
"$bin/currantwharf" standin "$plan" >/dev/null 2>&1 &
standin=$!
$bare "$binary" serve --settings "$settings/i0.yaml" &
instance=$!
trap 'kill $instance $standin 2>/dev/null; wait $instance $standin 2>/dev/null || true; rm -rf "$settings"' EXIT
tries=0
until $bare "$binary" query grain-lookup longan --deadline-ms 2000 >/dev/null 2>&1; do
  tries=$((tries + 1))
  if [ $tries -ge 40 ]; then echo "the binary gave no answer" >&2; exit 1; fi
  sleep 0.5
done
$bare "$binary" query grain-lookup longan --deadline-ms 2000
children=$(ps -o pid= --ppid $instance | wc -l)
echo "processes that the instance started: $children"
[ "$children" -eq 0 ]
