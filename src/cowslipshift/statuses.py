"""HTTP statuses that say something of whether a request ran."""

from __future__ import annotations

REQUEST_TIMEOUT = 408
MISDIRECTED = 421
TOO_MANY_REQUESTS = 429
UNAVAILABLE = 503

PROMISES = frozenset(
    {REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE}
)
"""Statuses that promise the caller that its request never runs."""

INTERIM = range(100, 200)
"""Statuses of answers that are followed by another one."""

FINAL = range(200, 600)
"""Statuses of final answers; HTTP has no others."""

FIRST_ERROR = 400
