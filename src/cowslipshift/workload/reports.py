"""What backend servers state about their load, and what hosts pass on."""

from __future__ import annotations

import msgspec


class ServerLoad(msgspec.Struct, frozen=True):
    """What a backend server states about its load in an answer.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        pace: How long work takes on its machine at that moment, as a multiple
            of the usual time; ``None`` if it does not state that.
    """

    running: int
    waiting: int
    pace: float | None = None


class ServerLoadReport(msgspec.Struct, frozen=True):
    """A server's load as one host tells it to another.

    Attributes:
        server: Hash of the server's incarnation.
        running: Requests that it worked on.
        waiting: Requests in its queue.
        age_s: Seconds since the answer that said so.
    """

    server: int
    running: int
    waiting: int
    age_s: float
