"""A caller that writes requests byte by byte and reads answers in order."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec
from tests.edge import daemons

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from cowslipshift.edge import service as edge_service

READ_LIMIT_S = 5.0


class RawAnswer(msgspec.Struct):
    """An answer as it arrived.

    Attributes:
        headers: Headers by name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Id of the request that it answers."""
        return self.headers.get(names.REQUEST_ID_HEADER.lower(), "")

    @property
    def closes(self) -> bool:
        """Whether the host closes the connection behind it."""
        return self.headers.get("connection", "").lower() == "close"


class RawCaller:
    """One connection to a host."""

    def __init__(
        self, host: edge_service.EdgeService | daemons.Daemon
    ) -> None:
        self._address = (
            host.front
            if isinstance(host, daemons.Daemon)
            else host.settings.listen.front
        )

    async def __aenter__(self) -> RawCaller:
        """Connect."""
        ip, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            ip, int(port)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connection."""
        self.abort()

    def send(self, *requests: bytes) -> None:
        """Write bytes without waiting for answers."""
        self._writer.write(b"".join(requests))

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def read_answer(self) -> RawAnswer:
        """Read the next answer, which must have a length."""
        async with asyncio.timeout(READ_LIMIT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
            status_line, *lines = head.decode().split("\r\n")[:-2]
            headers = {}
            for line in lines:
                name, _, value = line.partition(":")
                headers[name.lower()] = value.strip()
            body = await self._reader.readexactly(
                int(headers["content-length"])
            )
        return RawAnswer(int(status_line.split()[1]), headers, body)

    async def read_head(self) -> str:
        """Read the head of an answer without a body."""
        async with asyncio.timeout(READ_LIMIT_S):
            head = await self._reader.readuntil(b"\r\n\r\n")
        return head.decode().removesuffix("\r\n\r\n")

    async def read_rest(self) -> bytes:
        """Read until the host closes the connection."""
        async with asyncio.timeout(READ_LIMIT_S):
            return await self._reader.read()


def build_request(
    request_id: str,
    is_write: bool = False,
    affinity_key: str = "7",
    deadline_ms: str = "2000",
    extra: str = "",
    body: bytes = b"",
    version: str = "1.1",
    is_chunked: bool = False,
) -> bytes:
    """Return a request as a caller writes it.

    Args:
        request_id: Id of the request.
        is_write: Whether it goes to the route that is not idempotent.
        affinity_key: Affinity key, sent as a cookie.
        deadline_ms: Value of the deadline header.
        extra: Further header lines, each with its end.
        body: Body, sent with its length or in chunks.
        version: Version of HTTP.
        is_chunked: Whether the body is sent in two chunks, with a trailer.
    """
    method, path = (
        ("POST", platformfleet.WRITE_PATH)
        if is_write
        else ("GET", platformfleet.READ_PATH)
    )
    framing = f"Content-Length: {len(body)}"
    if is_chunked:
        framing = "Transfer-Encoding: chunked"
        parts = (body[: len(body) // 2], body[len(body) // 2 :])
        chunks = (b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
        body = b"".join(chunks) + b"0\r\nX-Trailer: 1\r\n\r\n"
    head = (
        f"{method} {path}1 HTTP/{version}\r\n"
        f"Host: {platformfleet.HOSTNAME}\r\n"
        f"{names.REQUEST_ID_HEADER}: {request_id}\r\n"
        f"{names.DEADLINE_MS_HEADER}: {deadline_ms}\r\n"
        f"{names.API_KEY_HEADER}: {platformfleet.API_KEY}\r\n"
        f"Cookie: {names.AFFINITY_COOKIE}={affinity_key}\r\n"
        f"{framing}\r\n{extra}\r\n"
    )
    return head.encode() + body


async def send_one(
    fleet: platformfleet.PlatformFleet,
    request_id: str,
    is_write: bool = True,
    **options: Any,
) -> RawAnswer:
    """Send one request to a fleet's first host and read the answer.

    Args:
        fleet: The fleet.
        request_id: Id of the request.
        is_write: Whether it goes to the route that is not idempotent.
        **options: Further arguments of `build_request`.
    """
    async with RawCaller(fleet.hosts[0]) as caller:
        caller.send(build_request(request_id, is_write=is_write, **options))
        return await caller.read_answer()
