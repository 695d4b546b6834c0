#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, which need no build: checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tests/process:review/support-3 python3 -c "
import partition
from standins import http, site, store, workers"
