#!/bin/sh
# Installs the programs and their dependencies into target/deps.
set -eu
deps=target/deps
if [ ! "$deps/.made" -nt pyproject.toml ]; then
    python3 -m pip install --quiet --upgrade --target "$deps" .
    touch "$deps/.made"
fi
rm -rf "$deps/peridotmast"
cp -r src/peridotmast "$deps/peridotmast"
# The programs cannot write to this folder: unless the modules are compiled
# here, each start compiles them again.
python3 -m compileall -q "$deps/peridotmast"
