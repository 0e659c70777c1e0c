#!/usr/bin/env bash
# Builds the stand-ins of the third review: they need Python 3.11 or later and nothing besides.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/standins-3
