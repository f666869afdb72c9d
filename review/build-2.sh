#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the build of the deploy file. Their stand-ins are
# Python without further packages, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
