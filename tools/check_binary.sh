#!/bin/sh
# Check that the single-file binary serves a query and starts no child process.
# Usage: check_binary.sh BIN-DIRECTORY BINARY
set -eu
bin=$1
binary=$2
# The base interpreter of the virtual environment, without any installed library.
base_python="$("$bin/python" -c 'import sys; print(sys._base_executable)') -I -S"
plan=examples/kuo-hsing-small/site.yaml
settings=$(mktemp -d)
$base_python "$binary" --version
$base_python "$binary" make-site "$plan" "$settings"
"$bin/currantwharf" standin "$plan" >/dev/null 2>&1 &
standin=$!
$base_python "$binary" serve --settings "$settings/i0.yaml" &
instance=$!
trap 'kill $instance $standin 2>/dev/null; wait $instance $standin 2>/dev/null || true; rm -rf "$settings"' EXIT
attempts=0
until $base_python "$binary" query grain-lookup longan --deadline-ms 2000 >/dev/null 2>&1; do
  attempts=$((attempts + 1))
  if [ $attempts -ge 40 ]; then echo "the instance did not answer any of $attempts queries" >&2; exit 1; fi
  sleep 0.5
done
$base_python "$binary" query grain-lookup longan --deadline-ms 2000
children=$(ps -o pid= --ppid $instance | wc -l)
echo "child processes of the instance: $children"
[ "$children" -eq 0 ]
