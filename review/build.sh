#!/usr/bin/env bash
# Compiles the stand-ins and the cases; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
