#!/usr/bin/env bash
# Installs the build dependencies, builds, and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
support/install.sh
cmake --preset release > /dev/null
cmake --build --preset release
ctest --preset release
