#!/usr/bin/env bash
# The stand-ins are scripts that need Python 3.11 and its standard library only. This checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standin/*.py [0-9]/*.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
