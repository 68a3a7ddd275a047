#!/bin/sh
# The stand-ins and the cases are Python files that use the standard library
# only; building them is to compile them once.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins 1 2 3 4 5
