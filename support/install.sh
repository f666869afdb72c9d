#!/usr/bin/env bash
# Installs the build dependencies from Debian packages.
set -euo pipefail
packages=(ccache catch2 clang-format clang-tidy cmake g++ libboost-dev libcli11-dev libcpprest-dev libeasyloggingpp-dev
    libgrpc++-dev libinih-dev libprotobuf-dev librapidcheck-dev libssl-dev libxxhash-dev ninja-build nlohmann-json3-dev pkg-config
    prometheus-cpp-dev protobuf-compiler-grpc)
if dpkg -s "${packages[@]}" > /dev/null 2>&1; then
    exit 0
fi
run=()
[ "$(id -u)" = 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq "${packages[@]}" > /dev/null
