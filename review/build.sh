#!/usr/bin/env bash
# Builds the stand-ins of the cases. They need the standard library alone, so compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
