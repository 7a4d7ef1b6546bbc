"""A client's connection to a host."""

from __future__ import annotations

import asyncio
import itertools
import secrets

from . import wire

HOSTNAME = "tills.example"
API_KEY = "key-of-workshop"
CONNECT_TIMEOUT_S = 1.0
PART_BYTES = 500_000

_numbers = itertools.count(1)
_prefix = secrets.token_hex(3)


def draw_id() -> str:
    """Return a new request id."""
    return f"{_prefix}{next(_numbers):06x}"


class Connection:
    """A connection over which requests go one after the other.

    Attributes:
        bytes_per_s: How fast the client sends bodies; 0 for no limit.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.bytes_per_s = 0
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether it may be used."""
        return self._writer is not None and not self._writer.is_closing()

    async def open(self) -> None:
        """Connect.

        Raises:
            OSError: The host does not listen.
        """
        ip, _, port = self.address.rpartition(":")
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port)), CONNECT_TIMEOUT_S
        )

    async def send(
        self,
        identity: str,
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        thing: str = "",
        closes: bool = False,
        hostname: str = HOSTNAME,
    ) -> wire.Message | None:
        """Send a request and return its answer.

        Args:
            identity: Id of the request.
            method: HTTP method.
            path: Path and query.
            body: Body.
            deadline_ms: How long the client waits.
            thing: The object that it concerns.
            closes: Whether the request says `Connection: close`.
            hostname: Host that it names.

        Returns:
            ``None`` if the connection ends without one.

        Raises:
            TimeoutError: There is none by the deadline.
        """
        assert self._writer is not None
        headers = [
            ("Host", hostname),
            ("Cowslipshift-Request-Id", identity),
            ("Cowslipshift-Deadline-Ms", str(deadline_ms)),
            ("Api-Key", API_KEY),
        ]
        if thing:
            cookie = f"Cowslipshift-Affinity-Key={thing}"
            headers.append(("Cookie", cookie))
        if body or method == "POST":
            headers.append(("Content-Length", str(len(body))))
        if closes:
            headers.append(("Connection", "close"))
        head = wire.build_head(f"{method} {path} HTTP/1.1", headers)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._write(head, body)
                answer = await self._read()
        except TimeoutError:
            self.close()
            raise
        if answer is None or closes or "close" in answer.get("Connection"):
            self.close()
        return answer

    async def _write(self, head: bytes, body: bytes) -> None:
        assert self._writer is not None
        if not self.bytes_per_s:
            self._writer.write(head + body)
            return
        self._writer.write(head)
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        try:
            for start in range(0, len(body), PART_BYTES):
                part = body[start : start + PART_BYTES]
                self._writer.write(part)
                await self._writer.drain()
                due_s += len(part) / self.bytes_per_s
                await asyncio.sleep(max(0.0, due_s - loop.time()))
        except (ConnectionError, OSError):
            self._writer.close()

    async def _read(self) -> wire.Message | None:
        assert self._reader is not None and self._writer is not None
        try:
            await self._writer.drain()
            return await wire.read_message(self._reader)
        except (ConnectionError, OSError):
            return None

    def close(self) -> None:
        """Close it."""
        if self._writer is not None:
            self._writer.close()
