#!/usr/bin/env bash
# Prepares the stand-ins of cases 6 to 10. They are Python programs without
# dependencies, so nothing is compiled; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case.py <<'PYTHON'
import sys
import tomllib  # Python 3.11 and later.
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
