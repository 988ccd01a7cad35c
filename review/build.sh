#!/bin/bash
# The stand-ins need no build: they run with the Python of the deploy file's build. This checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/common/*.py review/[0-9]*/*.py
