#!/usr/bin/env bash
# Regenerates src/peers/gen from proto/; needs protobuf-compiler-grpc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -Iproto --cpp_out=src/peers/gen --grpc_out=src/peers/gen \
    --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/medlarhub.proto proto/jobs.proto
