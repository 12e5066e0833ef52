#!/usr/bin/env bash
# The stand-ins are Python and need no build; this only checks that they compile.
cd "$(dirname "$0")/.." && python3 - <<'PY'
import pathlib
for path in [*pathlib.Path("review").rglob("*.py"), *pathlib.Path("platform/Soak").glob("*.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
