#!/bin/sh
# Builds the stand-ins that the scripts start: they are plain Python, for the
# same interpreter as the build of the deploy file.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common
