#!/usr/bin/env bash
# Fails where the committed code differs from what the schema gives.
set -eu
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
tools/generate.sh "$fresh"
for file in "$fresh"/peridotmast/schema/*; do
    diff -u "src/peridotmast/schema/$(basename "$file")" "$file"
done
