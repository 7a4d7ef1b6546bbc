"""Limits on what others may send, and on how long they may take."""

from __future__ import annotations

import resource

import msgspec

MAX_REQUEST_LINE_BYTES = 16_384
"""Largest request line; a head may have this much besides its headers."""

MAX_HEADER_LINES = 1024

MAX_WAITING = 2048
"""Connections that wait without a whole request, at the most."""

MAX_UNREAD_BYTES = 32 * 1024 * 1024
"""Answers that all callers together have not taken yet."""

DESCRIPTORS_PER_WAITING = 2
"""The other half is for requests that run, and for servers and hosts."""


class InboundLimits(msgspec.Struct, frozen=True):
    """What one connection may send, and how long it may take.

    Attributes:
        header_bytes: Size of a head without its request line, and of what
            surrounds the chunks of a body.
        body_bytes: Size of a body that is read though its request was
            answered already. What reads a body limits it itself.
        header_timeout_s: Seconds from the first byte of a head to its last.
        idle_timeout_s: Seconds without a request.
        unread_timeout_s: Seconds without a byte of an answer being taken.
    """

    header_bytes: int = 16_384
    body_bytes: int = 8 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    unread_timeout_s: float = 30.0

    @property
    def head_bytes(self) -> int:
        """Size of a head with its request line."""
        return self.header_bytes + MAX_REQUEST_LINE_BYTES


def choose_max_waiting(max_descriptors: int = 0) -> int:
    """Return how many connections may wait without a whole request.

    Args:
        max_descriptors: Descriptors that the process may open; 0 for as many
            as the operating system lets it.
    """
    if not max_descriptors:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors == resource.RLIM_INFINITY:
            return MAX_WAITING
    return max(1, min(MAX_WAITING, max_descriptors // DESCRIPTORS_PER_WAITING))
