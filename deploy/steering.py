"""Start the daemon from a source checkout, without installing it."""

from __future__ import annotations

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "src"))

from cowslipshift.edge import main  # noqa: E402

main.main()
