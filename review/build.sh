#!/bin/sh
# Build the stand-ins of all cases. They use only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common 1 2 3 4
