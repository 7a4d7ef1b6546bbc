"""Creation of idempotency keys, for callers written in Python."""

from __future__ import annotations

import secrets
import time
import uuid

_VERSION = 7
_VARIANT = 2
_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62


def make_key(home: str = "", wall_s: float | None = None) -> str:
    """Create an idempotency key: a version 7 UUID, with a home if given.

    Args:
        home: Home data centre of the key, as named by the look-up, so that
            it is near.
        wall_s: Unix time in seconds; now if left out.
    """
    created_s = time.time() if wall_s is None else wall_s
    number = (
        int(created_s * 1000) << 80
        | _VERSION << 76
        | secrets.randbits(_RANDOM_A_BITS) << 64
        | _VARIANT << 62
        | secrets.randbits(_RANDOM_B_BITS)
    )
    text = str(uuid.UUID(int=number))
    return f"{home}:{text}" if home else text
