#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, after the build of
# the deploy file. They are Python and use that build's libraries; nothing is
# downloaded.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q src/cowslipshift/standins src/cowslipshift/platform
python3 -m compileall -q review/stand-2
for case in review/{6,7,8,9,10}/case.py; do
    [ ! -e "$case" ] || python3 -m compileall -q "$case"
done
PYTHONPATH=target/deps python3 -c "import aiohttp, msgspec"
