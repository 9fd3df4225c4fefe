#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
