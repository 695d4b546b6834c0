#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so that only their syntax is checked.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PROGRAM'
import glob
import sys

for name in glob.glob("review/[0-9]*/*.py") + glob.glob("tests/process/standins/*.py"):
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
sys.exit(0)
PROGRAM
