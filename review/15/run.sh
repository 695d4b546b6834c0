#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Writes what was sent, answered and run to record.txt beside this script, or to the file RECORD.
here=$(cd "$(dirname "$0")" && pwd)
export RECORD=${RECORD:-$here/record.txt}
exec timeout 118 python3 "$here/case.py"
