#!/usr/bin/env bash
# The stand-ins of the scripts are in Python and need no build; this checks
# that they can be read. Programs of the project are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast
import pathlib
for path in [*pathlib.Path("review").rglob("*.py"),
             pathlib.Path("tests/soak/store.py"),
             pathlib.Path("tests/soak/http_server.py")]:
    ast.parse(path.read_text(), str(path))
P
test -x target/apps/mustardflow-entry
