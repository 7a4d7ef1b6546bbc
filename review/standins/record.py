"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes lines with the seconds since its start.

    Args:
        path: The file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open("w")

    def write(self, text: str) -> None:
        """Write a line."""
        passed_s = time.monotonic() - self._started_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line, also to the standard output."""
        self.write(text)
        print(text)
