#!/usr/bin/env bash
# The stand-ins of this review's scripts are Python modules in standins-3 and
# need no build. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=standins-3 python3 -c 'import lab'
