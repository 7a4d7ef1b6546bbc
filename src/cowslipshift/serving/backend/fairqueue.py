"""Waiting requests, fair by client account and aware of deadlines."""

from __future__ import annotations

import asyncio
import heapq
import itertools

MIN_WEIGHT = 1e-6


class Waiter:
    """A request that waits for a slot.

    Attributes:
        account: The client account.
        deadline_s: Monotonic time after which it is of no use.
        ready: Set with what the request waits for.
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

    Each account gets service in proportion to its weight while it waits;
    an account that sends more than its part only lengthens its own queue.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Waiter]] = []
        self._finish: dict[str, float] = {}
        self._waiting: dict[str, int] = {}
        self._virtual = 0.0
        self._order = itertools.count()

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
            limit: Bound on the whole queue; an account's part of it is at
                least one request and at most a half.
        """
        if len(self) >= limit:
            return False
        part = max(1.0, limit * max(min(weight, 0.5), 0.125))
        return self.count_waiting(account) < part

    def push(self, account: str, weight: float, deadline_s: float) -> Waiter:
        """Add a request.

        Args:
            account: The client account.
            weight: Its weight; larger ones are served more often.
            deadline_s: Monotonic time after which it is dropped.
        """
        start = max(self._virtual, self._finish.get(account, 0.0))
        self._finish[account] = start + 1.0 / max(weight, MIN_WEIGHT)
        waiter = Waiter(account, deadline_s, start)
        heapq.heappush(self._heap, (start, next(self._order), waiter))
        self._waiting[account] = self.count_waiting(account) + 1
        return waiter

    def pop(self, now: float) -> Waiter | None:
        """Take the request to serve next.

        Requests past their deadline are woken with a timeout.
        """
        while self._heap:
            start, _, waiter = heapq.heappop(self._heap)
            if waiter.ready.done():
                continue
            self._virtual = max(self._virtual, start)
            self.remove(waiter)
            if waiter.deadline_s <= now:
                waiter.ready.set_exception(TimeoutError())
                continue
            return waiter
        self._finish.clear()
        self._virtual = 0.0
        return None

    def remove(self, waiter: Waiter) -> None:
        """Count out a request that stops waiting."""
        count = self.count_waiting(waiter.account) - 1
        if count > 0:
            self._waiting[waiter.account] = count
        else:
            self._waiting.pop(waiter.account, None)
