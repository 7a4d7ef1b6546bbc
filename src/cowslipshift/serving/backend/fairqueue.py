"""Queue of waiting requests, fair to client accounts, with deadlines."""

from __future__ import annotations

import asyncio
import heapq
import itertools

MIN_WEIGHT = 1e-6


class Waiter:
    """A request that waits for a slot.

    Attributes:
        account: The client account.
        deadline_s: Monotonic time after which it is dropped.
        ready: Resolved with what the request waits for.
        start_tag: Virtual time at which its service starts.
    """

    __slots__ = ("account", "deadline_s", "ready", "start_tag")

    def __init__(
        self, account: str, deadline_s: float, start_tag: float
    ) -> None:
        self.account = account
        self.deadline_s = deadline_s
        self.start_tag = start_tag
        self.ready: asyncio.Future[object] = (
            asyncio.get_running_loop().create_future()
        )


class FairQueue:
    """Start-time fair queueing over client accounts.

    Each account is served in proportion to its weight while it waits; an
    account that sends more than its share only lengthens its own queue.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiter]] = []
        self._finish_tags: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._virtual_time = 0.0
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return sum(self._waiting.values())

    def count_waiting(self, account: str) -> int:
        """Return how many requests of an account wait."""
        return self._waiting.get(account, 0)

    def allows(self, account: str, weight: float, limit: int) -> bool:
        """Tell whether an account may add a request.

        Args:
            account: The client account.
            weight: Its weight relative to a total of 1 for all accounts.
            limit: Maximum length of the whole queue; an account's share of
                it is at least one request and at most a half.
        """
        if len(self) >= limit:
            return False
        share = max(1.0, limit * max(min(weight, 0.5), 0.125))
        return self.count_waiting(account) < share

    def push(self, account: str, weight: float, deadline_s: float) -> Waiter:
        """Add a request.

        Args:
            account: The client account.
            weight: Its weight; larger ones are served more often.
            deadline_s: Monotonic time after which it is dropped.
        """
        start = max(self._virtual_time, self._finish_tags.get(account, 0.0))
        self._finish_tags[account] = start + 1.0 / max(weight, MIN_WEIGHT)
        waiter = Waiter(account, deadline_s, start)
        heapq.heappush(self._heap, (start, next(self._sequence), waiter))
        self._waiting[account] = self.count_waiting(account) + 1
        return waiter

    def pop(self, now: float) -> Waiter | None:
        """Take the request to serve next.

        Requests past their deadline are dropped with `TimeoutError`.
        """
        while self._heap:
            start, _, waiter = heapq.heappop(self._heap)
            if waiter.ready.done():
                continue
            self._virtual_time = max(self._virtual_time, start)
            self.remove(waiter)
            if waiter.deadline_s <= now:
                waiter.ready.set_exception(TimeoutError())
                continue
            return waiter
        self._finish_tags.clear()
        self._virtual_time = 0.0
        return None

    def remove(self, waiter: Waiter) -> None:
        """Uncount a request that has stopped waiting."""
        count = self.count_waiting(waiter.account) - 1
        if count > 0:
            self._waiting[waiter.account] = count
        else:
            self._waiting.pop(waiter.account, None)
