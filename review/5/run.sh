#!/bin/sh
# Plays the case; exits with 0 if the rule held, 1 if it was broken, and 2 if
# the case could not run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
