"""Clients that send orders over kept connections."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from . import client

if TYPE_CHECKING:
    from .host import Host
    from .record import Record

THINGS = 24


class Sent:
    """A request that a client sent.

    Attributes:
        sent_s: When it was.
        status: Status of its answer; 0 while there is none.
        ended: How it ended.
        took_s: How long that took.
    """

    def __init__(self, identity: str, host: Host) -> None:
        self.identity = identity
        self.host = host
        self.sent_s = time.monotonic()
        self.status = 0
        self.ended = ""
        self.took_s = 0.0


class Traffic:
    """Clients of all hosts.

    Args:
        record: Gets a line for each request and each answer.
        deadline_ms: How long the clients wait.

    Attributes:
        sent: All requests by id.
    """

    def __init__(self, record: Record, deadline_ms: int = 4000) -> None:
        self.sent: dict[str, Sent] = {}
        self._record = record
        self._deadline_ms = deadline_ms
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, hosts: list[Host], clients: int, pause_s: float) -> None:
        """Start clients of each host.

        Args:
            hosts: The hosts.
            clients: Clients of each host.
            pause_s: Time between two orders of a client.
        """
        for host in hosts:
            for number in range(clients):
                run = self._keep_sending(host, number, pause_s)
                self._tasks.append(asyncio.create_task(run))

    async def stop(self) -> None:
        """Stop, when the answers have come."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_sending(
        self, host: Host, number: int, pause_s: float
    ) -> None:
        connection = client.Connection(host.front)
        await asyncio.sleep(pause_s * number / 10)
        orders = 0
        while True:
            orders += 1
            thing = str((orders * 7 + number * 5) % THINGS)
            await asyncio.shield(self.send(host, connection, thing))
            await asyncio.sleep(pause_s)

    async def send(
        self,
        host: Host,
        connection: client.Connection,
        thing: str,
        body: bytes = b"one panel",
        closes: bool = False,
        path: str = "/orders/1",
    ) -> Sent | None:
        """Send an order; connect first where that is needed.

        Returns:
            ``None`` if the host does not listen.
        """
        if not connection.is_open:
            try:
                await connection.open()
            except (OSError, TimeoutError):
                return None
        sent = Sent(client.draw_id(), host)
        self.sent[sent.identity] = sent
        self._record.write(
            f"client sends {sent.identity} to {host.name}, {len(body)} bytes"
            + (", Connection: close" if closes else "")
        )
        try:
            answer = await connection.send(
                sent.identity,
                "POST",
                path,
                body,
                self._deadline_ms,
                thing,
                closes,
            )
        except TimeoutError:
            sent.ended = "no answer by the deadline"
        else:
            if answer is None:
                connection.close()
                sent.ended = "the connection ended"
            else:
                sent.status = answer.status
                sent.ended = f"status {answer.status}"
        sent.took_s = time.monotonic() - sent.sent_s
        self._record.write(
            f"client of {sent.identity}: {sent.ended} after "
            f"{sent.took_s * 1000:.0f} ms"
        )
        return sent
