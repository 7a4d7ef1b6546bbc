"""Callers that keep their connections until the process is gone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.edge import rawcaller
from tests.soak import history as histories

if TYPE_CHECKING:
    from collections.abc import Callable
    import random

    from tests.edge import daemons

DEADLINE_S = 2.0
ROUTE_TIMEOUT_S = 0.8
MAX_PAUSE_S = 0.08
MAX_IN_A_ROW = 3
BODY = b"order " * 40


class Caller:
    """One caller with one connection at a time.

    Args:
        name: Prefix of the ids of its requests.
        draw: Source of its choices.
        choose_host: Returns a host that a look-up could name, if any.
        history: Receives what it sends and sees.
    """

    def __init__(
        self,
        name: str,
        draw: random.Random,
        choose_host: Callable[[], daemons.Daemon | None],
        history: histories.History,
    ) -> None:
        self._name = name
        self._draw = draw
        self._choose_host = choose_host
        self._history = history
        self._count = 0
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until told to stop."""
        while not self.is_stopping:
            host = self._choose_host()
            if host is None:
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            try:
                async with rawcaller.RawCaller(host) as connection:
                    await self._use(connection, host)
            except OSError:
                # It was not there to be connected to.
                await asyncio.sleep(MAX_PAUSE_S)

    async def _use(
        self, connection: rawcaller.RawCaller, host: daemons.Daemon
    ) -> None:
        while not self.is_stopping:
            row = self._draw_row(host.name)
            connection.send(*(content for _, content in row))
            for sent, _ in row:
                if not await self._receive(connection, sent):
                    return
            await asyncio.sleep(self._draw.random() * MAX_PAUSE_S)

    def _draw_row(self, host: str) -> list[tuple[histories.Sent, bytes]]:
        length = 1
        if self._draw.random() < 0.2:
            length = self._draw.randrange(2, MAX_IN_A_ROW + 1)
        closes = self._draw.random() < 0.1
        return [
            self._build(host, closes and number == length - 1, length > 1)
            for number in range(length)
        ]

    def _build(
        self, host: str, closes: bool, is_in_row: bool
    ) -> tuple[histories.Sent, bytes]:
        self._count += 1
        identity = f"{self._name}-{self._count}"
        is_write = not is_in_row and self._draw.random() < 0.4
        content = rawcaller.build_request(
            identity,
            is_write,
            affinity_key=str(self._draw.randrange(30)),
            deadline_ms=str(int(DEADLINE_S * 1000)),
            extra="Connection: close\r\n" if closes else "",
            body=BODY if is_write else b"",
            is_chunked=is_write and self._draw.random() < 0.5,
        )
        now = asyncio.get_running_loop().time()
        sent = histories.Sent(
            identity, host, is_write, now, now + ROUTE_TIMEOUT_S
        )
        return sent, content

    async def _receive(
        self, connection: rawcaller.RawCaller, sent: histories.Sent
    ) -> bool:
        """Wait for an answer; return whether the connection goes on."""
        self._history.sent.append(sent)
        closes = True
        try:
            answer = await connection.read_answer()
            sent.status = answer.status
            sent.answer_id = answer.request_id
            sent.body = answer.body
            closes = answer.closes
        except TimeoutError:
            sent.is_late = True
        except (OSError, EOFError):
            pass
        sent.ended_s = asyncio.get_running_loop().time()
        return not closes
