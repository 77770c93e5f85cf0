#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs (python3, 3.11 or
# later, of packages.txt) that need no other package, so they are only compiled
# here, to report a wrong version early. The instances are those of the `build`
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
  { echo "python3 3.11 or later is needed" >&2; exit 1; }
python3 -m py_compile standins/*.py */case.py
