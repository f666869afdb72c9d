#!/usr/bin/env bash
# Checks that names of the users' platform occur only in platform/, and that platform/ has less than a tenth
# of the source lines.
set -euo pipefail
cd "$(dirname "$0")/.."
names='medlarhub/(run-start|run-stop|hold|advise|rows-|blob-|machine)|X-Medlarhub-|MEDLARHUB_BOOT|"(mem_mb|est_runtime_ms|anti_affinity|checkpoint_s|deadline_ms|acked_upto|clock_ms|api_keys|path_prefix|expect_rev|cold_left_ms|hold_max_ms|decide_ms|period_ms)"'
if git grep -nE "$names" -- 'src/*.cpp' 'src/*.h' 'include' 'test/*.cpp' 'test/*.h' ':!src/peers/gen' ':!test/platform_*test.cpp'; then
    echo "names of the users' platform occur outside platform/"
    exit 1
fi
count() { git ls-files "$@" | grep -E '\.(cpp|h)$' | grep -v '^src/peers/gen/' | tr '\n' '\0' | xargs -0 cat | wc -l; }
adapter=$(count platform)
all=$(count platform src include)
echo "platform/ has $adapter of $all lines"
[ $((adapter * 10)) -lt "$all" ]
