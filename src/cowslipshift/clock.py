"""The sources of the present time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Tells the time; functions that decide get it as an argument."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return Unix seconds."""


class SystemClock:
    """The clocks of this machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix seconds."""
        return time.time()
