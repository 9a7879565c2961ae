#!/bin/sh
# Plays this case. Exit code 1: the rule was broken, 0: it held, 2: it could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/10/play.py
