#!/bin/sh
# Compiles the stand-ins and clients that the scripts of review/6 to review/10 start.
set -eu
cd "$(dirname "$0")"
for path in lib-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -f "$path" ] || python3 -m py_compile "$path"
done
