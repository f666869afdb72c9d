#!/usr/bin/env bash
# Checks format and lint of all sources except the generated ones.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v '^src/peers/gen/')
clang-format --dry-run --Werror "${sources[@]}"
printf '%s\n' "${sources[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build/release 2> /dev/null
