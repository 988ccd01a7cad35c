#!/bin/bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are Python files.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins review/6 review/7 review/8 review/9 review/10
