#!/bin/sh
# Builds what the scripts of review 3 start besides the system: the stand-ins
# of the store and of backend servers are Python and run from source, with the
# packages that the build of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src python3 - <<'CHECK'
import ast
import pathlib

from cowslipshift.standins import platformbackend
from cowslipshift.standins import platformstore

assert platformbackend and platformstore
folders = ("review/common-3", "review/11", "review/13", "review/15")
for path in (p for f in folders for p in pathlib.Path(f).glob("*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
