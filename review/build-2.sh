#!/bin/sh
# Checks what the scripts of the second review need. Their stand-ins use the standard
# library only, so that there is nothing to build beside what the deploy file builds.
cd "$(dirname "$0")/.." || exit 2
test -d target/deps/marigoldchute || { echo "run the build of the deploy file" >&2; exit 1; }
exec python3 -m py_compile review/stand_ins_2.py review/[6-9]/*.py review/10/*.py
