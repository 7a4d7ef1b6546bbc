"""A bound on what one client account has in flight at one host."""

from __future__ import annotations

import asyncio
import collections
import contextlib
from typing import TYPE_CHECKING

from cowslipshift.serving import refusals

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

MAX_IN_FLIGHT_REQUESTS = 16


class Bulkhead:
    """Lets a burst of one account through a few requests at a time.

    Without it a burst that its account pays for takes the whole processor
    of the host for as long as it lasts, and other accounts wait for that.

    Args:
        limit: Requests of one account in flight at most.
    """

    def __init__(self, limit: int = MAX_IN_FLIGHT_REQUESTS) -> None:
        self._limit = limit
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._waiting: dict[str, collections.deque[asyncio.Future[None]]] = {}

    @contextlib.asynccontextmanager
    async def enter(
        self, account: str, remaining_s: float
    ) -> AsyncIterator[None]:
        """Wait until the account may have one more request in flight.

        Args:
            account: The client account.
            remaining_s: Time left until the deadline.

        Raises:
            Refusal: The deadline passed; the request was not run.
        """
        if self._in_flight[account] >= self._limit:
            await self._wait(account, remaining_s)
        else:
            self._in_flight[account] += 1
        try:
            yield
        finally:
            self._leave(account)

    async def _wait(self, account: str, remaining_s: float) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.setdefault(account, collections.deque()).append(turn)
        try:
            async with asyncio.timeout(remaining_s):
                await turn
        except BaseException as error:
            if turn.done() and not turn.cancelled():
                self._leave(account)
            turn.cancel()
            if isinstance(error, TimeoutError):
                raise refusals.refuse_expired() from error
            raise

    def _leave(self, account: str) -> None:
        """Pass the place on to the next request that still waits."""
        waiting = self._waiting.get(account)
        while waiting:
            turn = waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._in_flight[account] -= 1
        if self._in_flight[account] <= 0:
            del self._in_flight[account]
            self._waiting.pop(account, None)
