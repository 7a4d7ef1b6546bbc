#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# With TROUBLE=0 the disruption is left out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/.."
exec timeout --signal=TERM --kill-after=5 118 python3 "$here/case.py"
