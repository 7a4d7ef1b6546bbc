"""Start the daemon from a source checkout, without installing it."""

from __future__ import annotations

import pathlib
import signal
import sys

# The settings are read after this, so that no change is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from cowslipshift.edge import main  # noqa: E402

main.main()
