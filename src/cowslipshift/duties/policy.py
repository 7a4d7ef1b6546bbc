"""Bounds of a duty."""

from __future__ import annotations

import msgspec


class DutyPolicy(msgspec.Struct, frozen=True):
    """Bounds that the operators set for the usage reports.

    Attributes:
        lease_s: Lease of the holder; holders must not alternate within it.
        window_s: Length of a window.
        late_s: Time after its end at which the report of a window is due.
        is_fenced: Whether the platform refuses lower tokens.
        calls_per_s: Calls that it accepts a second, of all hosts together.
    """

    lease_s: float = 3.0
    window_s: float = 5.0
    late_s: float = 10.0
    is_fenced: bool = True
    calls_per_s: float = 10.0
