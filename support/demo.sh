#!/usr/bin/env bash
# Installs the build dependencies, builds, and runs the demo cluster; with --keep the cluster stays up.
set -euo pipefail
cd "$(dirname "$0")/.."
support/install.sh
cmake --preset release > /dev/null
cmake --build --preset release
build/release/test/medlarhub-demo "$@"
