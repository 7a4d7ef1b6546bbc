"""Sources of the current time."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of the current time; code that depends on time is passed one."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return Unix seconds."""


class SystemClock:
    """The system clocks of this machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix seconds."""
        return time.time()


class ElapsedClock(SystemClock):
    """A clock that also counts the time for which the machine is suspended."""

    __slots__ = ()

    def now(self) -> float:
        """Return monotonic seconds, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
