#!/usr/bin/env bash
# The stand-ins of the scripts are in Python and need no build: checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -c 'import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")'
