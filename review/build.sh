#!/bin/sh
# Prepares the stand-ins of the review's cases. They are Python programs, so there is nothing to compile: this
# checks that the interpreter is there and that every file is valid.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for file in ../tests/process/standins/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
