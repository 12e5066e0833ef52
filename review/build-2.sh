#!/bin/sh
# The stand-ins of the cases from 6 on are Python programs, the project's own in platform/Soak/ too: nothing to compile.
# Checks that all of them can be read by the interpreter that the cases use.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)' || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import glob
import tokenize

for path in sorted(glob.glob("review/*_2.py") + glob.glob("review/[6-9]/*.py") + glob.glob("review/10/*.py")
                   + glob.glob("platform/Soak/*.py")):
    with tokenize.open(path) as file:
        compile(file.read(), path, "exec")
PY
