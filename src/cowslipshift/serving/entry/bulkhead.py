"""Limit on the requests of a client account in flight at one host."""

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
    """Limits the concurrent requests of each account; others wait in order.

    Without it, a burst within an account's quota takes the whole processor
    of the host for as long as it lasts and delays other accounts.

    Args:
        limit: Maximum number of requests of one account in flight.
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
            self._release(account)

    async def _wait(self, account: str, remaining_s: float) -> None:
        admission: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting.setdefault(account, collections.deque()).append(
            admission
        )
        try:
            async with asyncio.timeout(remaining_s):
                await admission
        except BaseException as error:
            if admission.done() and not admission.cancelled():
                self._release(account)
            admission.cancel()
            if isinstance(error, TimeoutError):
                raise refusals.refuse_expired() from error
            raise

    def _release(self, account: str) -> None:
        """Admit the next waiting request, or count one request less."""
        waiting = self._waiting.get(account)
        while waiting:
            admission = waiting.popleft()
            if not admission.done():
                admission.set_result(None)
                return
        self._in_flight[account] -= 1
        if self._in_flight[account] <= 0:
            del self._in_flight[account]
            self._waiting.pop(account, None)
