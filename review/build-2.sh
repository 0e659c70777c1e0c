#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They use only Python's standard library, so this
# checks that they compile.
cd "$(dirname "$0")" && python3 -m compileall -q standins-2 && for n in 6 7 8 9 10; do
    [ ! -d "$n" ] || python3 -m compileall -q "$n" || exit 1
done
