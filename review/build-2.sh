#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.  They are Python
# and need nothing but the standard library, so this only checks that they
# compile.
set -e
cd "$(dirname "$0")"
exec python3 -m compileall -q common-2 6 7 8 9 10
