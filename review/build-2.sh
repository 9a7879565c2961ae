#!/bin/sh
# Prepares the stand-ins that the cases 6 to 10 start: Python modules, compiled where the deploy file's build
# has put the interpreter. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
