#!/usr/bin/env bash
# Generates the Python code of the schema into the folder given as $1.
set -eu
out=${1:-src}
python -m grpc_tools.protoc -Iproto --python_out="$out" \
    --pyi_out="$out" --grpc_python_out="$out" \
    proto/peridotmast/schema/peridotmast.proto
