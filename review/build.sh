#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need nothing but Python's own library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5]
