"""How recently a replica of the store is known to have been current."""

from __future__ import annotations

import math

from cowslipshift.store import interface


class Freshness:
    """The latest time at which a replica was proven to be current.

    A proof says that at some time the store had reached a certain position
    and no later one. The store's own answers are proofs, and hosts pass them
    on in their heartbeats. That nothing is heard proves nothing.
    """

    __slots__ = ("_current_s", "_pending_position", "_pending_s")

    def __init__(self) -> None:
        self._current_s = -math.inf
        self._pending_s = -math.inf
        self._pending_position = interface.Position()

    def record_proof(
        self,
        position: interface.Position,
        as_of_s: float,
        replica_position: interface.Position,
    ) -> None:
        """Record that the store was at a position at some time.

        A proof for a position that the replica has not reached is kept until
        it has. One of an era that the replica has left proves nothing.

        Args:
            position: Position that the store had reached.
            as_of_s: Time at which it had.
            replica_position: Position of the own replica.
        """
        if position.era < replica_position.era:
            return
        if replica_position >= position:
            self._current_s = max(self._current_s, as_of_s)
        elif as_of_s > self._pending_s:
            self._pending_s = as_of_s
            self._pending_position = position

    def advance(self, replica_position: interface.Position) -> None:
        """Apply the proof that is kept once the replica has reached it."""
        if replica_position >= self._pending_position:
            self._current_s = max(self._current_s, self._pending_s)

    def reset(self) -> None:
        """Forget all proofs, as time may have passed unnoticed."""
        self._current_s = self._pending_s = -math.inf

    def measure_age(self, now: float) -> float:
        """Return the seconds since the replica was last proven current.

        Returns:
            Infinity if it never was.
        """
        return now - self._current_s
