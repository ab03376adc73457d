#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the standard library alone, so this only checks that
# they can be run; it writes nothing.
cd "$(dirname "$0")" || exit 1
exec python3 -B - standin-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'END'
import os
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for name in sys.argv[1:]:
    if os.path.exists(name):
        with open(name, encoding="utf-8") as file:
            compile(file.read(), name, "exec")
END
