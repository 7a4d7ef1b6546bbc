"""Whether the platform's store is reachable, by the outcomes of calls."""

from __future__ import annotations


class StoreContact:
    """Tells an outage of the store from a call that was lost.

    The store may cut a watch that is waiting, and the answer to a call may be
    lost while the store is sound. Only a call that was begun after such a
    failure shows which it was.

    Attributes:
        is_reachable: Whether the store has answered, and no outage has been
            confirmed since.
    """

    __slots__ = ("_suspected_s", "is_reachable")

    def __init__(self) -> None:
        self.is_reachable = False
        self._suspected_s: float | None = None

    @property
    def is_suspected(self) -> bool:
        """Whether a call has failed and none has been answered since."""
        return self._suspected_s is not None

    def record_answer(self) -> None:
        """Record that a call was answered."""
        self.is_reachable = True
        self._suspected_s = None

    def record_failure(self, started_s: float, now: float) -> bool:
        """Record that a call failed; return whether it confirms an outage.

        Args:
            started_s: When the call was begun.
            now: Present time.
        """
        if self._suspected_s is None:
            self._suspected_s = now
            return False
        if started_s < self._suspected_s:
            return False
        self.is_reachable = False
        return True
