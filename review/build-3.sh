#!/usr/bin/env bash
# Checks the stand-ins of the third review. They are Python scripts, so that there
# is nothing to compile; the project's own stand-ins are not used.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import glob
for path in glob.glob("review/standins-3/*.py") + sorted(
        path for case in range(11, 16) for path in glob.glob("review/%d/case.py" % case)):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PY
