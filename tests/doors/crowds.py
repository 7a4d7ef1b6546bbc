"""Callers outside the limits, and what they cost a process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import socket
from typing import Protocol
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

    from tests.edge import daemons

    from cowslipshift.standins import localfleet

PART_BYTES = 65_536
HANG_LIMIT_S = 30.0
"""Guards the test run against a process that hangs; no bound of a test."""

POLL_INTERVAL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
HOST_LINE = f"Host: {platformfleet.HOSTNAME}\r\n"


class Kind(msgspec.Struct, frozen=True):
    """What a caller sends: some bytes, then others again and again."""

    opening: bytes
    repeated: bytes

    def iterate_parts(self, limit: int) -> Iterator[bytes]:
        """Yield what is sent, up to a number of bytes."""
        count = max(1, PART_BYTES // len(self.repeated))
        part = self.repeated * count
        yield self.opening
        sent = len(self.opening)
        while sent + len(part) <= limit:
            yield part
            sent += len(part)


def build_kinds(path: str) -> dict[str, Kind]:
    """Return all kinds by name.

    Args:
        path: A path that the attacked port serves.
    """
    start = f"GET {path} HTTP/1.1\r\n{HOST_LINE}".encode()
    post = f"POST {path} HTTP/1.1\r\n{HOST_LINE}".encode()
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    keyed = (
        f"{names.REQUEST_ID_HEADER}: x\r\n"
        f"{names.API_KEY_HEADER}: {platformfleet.API_KEY}\r\n"
    ).encode()
    large = b"Content-Length: 1000000000\r\n\r\n"
    lost = b"POST /lost HTTP/1.1\r\n" + HOST_LINE.encode()
    return {
        "blank lines (CRLF)": Kind(b"", b"\r\n"),
        "blank lines (LF)": Kind(b"", b"\n"),
        "blank lines behind a request": Kind(start + b"\r\n", b"\r\n"),
        "method": Kind(b"", b"A"),
        "target": Kind(b"GET /", b"a"),
        "request line behind the target": Kind(b"GET / HTTP/1.1", b" "),
        "one header line": Kind(start + b"X: ", b"a"),
        "one header name": Kind(start, b"a"),
        "blanks in a header line": Kind(start + b"X:", b" "),
        "many lines": Kind(start, b"X: " + b"a" * 8000 + b"\r\n"),
        "many short lines": Kind(start, b"a:\r\n"),
        "folded lines": Kind(start + b"X: a\r\n", b" a\r\n"),
        "no HTTP": Kind(b"\x16\x03\x01", b"\x00\xff\x16"),
        "chunk sizes": Kind(chunked, b"0"),
        "chunk extensions": Kind(chunked + b"1;", b"a"),
        "small chunks": Kind(chunked, b"1\r\na\r\n"),
        "trailers": Kind(chunked + b"0\r\n", b"X: " + b"a" * 8000 + b"\r\n"),
        "body (path served)": Kind(post + keyed + large, b"a"),
        "body behind 404": Kind(lost + keyed + large, b"a"),
        "body behind 401": Kind(post + large, b"a"),
        "requests in a row": Kind(b"", start + b"\r\n"),
        "declined upgrade": Kind(
            start + b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
            b"X: " + b"a" * 8000 + b"\r\n",
        ),
    }


class Usage(msgspec.Struct, frozen=True):
    """What a process has used.

    Attributes:
        resident_kb: Memory now.
        peak_kb: Memory at its highest.
        descriptors: Open descriptors.
        cpu_s: Processor time since its start.
    """

    resident_kb: int
    peak_kb: int
    descriptors: int
    cpu_s: float


def measure(pid: int) -> Usage:
    """Measure a process."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = dict(
        line.split(":", 1)
        for line in (folder / "status").read_text().splitlines()
    )
    times = (folder / "stat").read_text().rpartition(")")[2].split()
    return Usage(
        int(fields["VmRSS"].split()[0]),
        int(fields["VmHWM"].split()[0]),
        len(list((folder / "fd").iterdir())),
        (int(times[11]) + int(times[12])) / CLOCK_TICKS_PER_S,
    )


async def wait_descriptors(pid: int, count: int) -> bool:
    """Wait until a process has few open descriptors; tell whether it has."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANG_LIMIT_S):
            while measure(pid).descriptors > count:
                await asyncio.sleep(POLL_INTERVAL_S)
            return True
    return False


class Attacker:
    """One connection outside the limits.

    Attributes:
        sent: Bytes that were written.
        received: First bytes of what the host answered.
        is_closed: Whether the host closed the connection.
    """

    def __init__(self, address: str, is_reading: bool = True) -> None:
        self.sent = 0
        self.received = b""
        self.is_closed = False
        self._address = address
        self._is_reading = is_reading
        self._watch: asyncio.Task[None] | None = None

    async def connect(self) -> None:
        """Open the connection."""
        ip, _, port = self._address.rpartition(":")
        connection = socket.socket()
        connection.setblocking(False)
        if not self._is_reading:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(HANG_LIMIT_S):
                await loop.sock_connect(connection, (ip, int(port)))
                self._reader, self._writer = await asyncio.open_connection(
                    sock=connection, limit=1024
                )
        except OSError:
            self.is_closed = True
            return
        if self._is_reading:
            self._watch = asyncio.create_task(self._read())

    async def wait_closed(self) -> bool:
        """Wait until the host closes it; return whether it did."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANG_LIMIT_S):
                while not self.is_closed:
                    await asyncio.sleep(POLL_INTERVAL_S)
        return self.is_closed

    async def send(self, kind: Kind, limit: int) -> None:
        """Send a kind until a number of bytes, or until it is closed."""
        for part in kind.iterate_parts(limit):
            if self.is_closed:
                return
            try:
                async with asyncio.timeout(HANG_LIMIT_S):
                    self._writer.write(part)
                    await self._writer.drain()
            except (ConnectionError, TimeoutError):
                return
            self.sent += len(part)

    async def drip(self, kind: Kind) -> None:
        """Send a kind, the repeated part slowly, until it is closed."""
        await self.send(kind, 0)
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(HANG_LIMIT_S):
                while not self.is_closed:
                    self._writer.write(kind.repeated)
                    await self._writer.drain()
                    await asyncio.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Reset the connection."""
        if self._watch is not None:
            self._watch.cancel()
        if hasattr(self, "_writer"):
            self._writer.transport.abort()

    async def _read(self) -> None:
        with contextlib.suppress(ConnectionError):
            while received := await self._reader.read(PART_BYTES):
                self.received = (self.received + received)[:64]
        self.is_closed = True
        self._writer.transport.abort()


@contextlib.asynccontextmanager
async def open_crowd(
    address: str, count: int, is_reading: bool = True
) -> AsyncIterator[list[Attacker]]:
    """Connect several attackers; reset them at the end."""
    crowd = [Attacker(address, is_reading) for _ in range(count)]
    try:
        for attacker in crowd:
            await attacker.connect()
        yield crowd
    finally:
        for attacker in crowd:
            attacker.close()


class Attacked(Protocol):
    """A port of a process.

    Attributes:
        address: Its address.
        path: A path that it serves.
    """

    address: str
    path: str

    @property
    def pid(self) -> int:
        """Id of the process."""

    async def ask(self) -> int:
        """Send an ordinary request to the port and return the status."""


class PlatformAttacked:
    """A port of a host on a platform."""

    def __init__(self, daemon: daemons.Daemon, port: str) -> None:
        self.address: str = getattr(daemon, port)
        self.path = {
            "front": platformfleet.READ_PATH + "1",
            "directory": names.RESOLVE_PATH,
            "ready": names.READY_PATH,
            "internal": "/metrics",
        }[port]
        self._daemon = daemon
        self._is_front = port == "front"

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._daemon.process.pid

    async def ask(self) -> int:
        """Send an ordinary request to the port and return the status."""
        if not self._is_front:
            return await _get(f"http://{self.address}{self.path}")
        async with (
            asyncio.timeout(HANG_LIMIT_S),
            rawcaller.RawCaller(self._daemon) as caller,
        ):
            caller.send(rawcaller.build_request("ordinary"))
            return (await caller.read_answer()).status


class OwnAttacked:
    """A port of a host with the own interface."""

    def __init__(self, fleet: localfleet.LocalFleet, port: str) -> None:
        name, host = next(iter(fleet.hosts.items()))
        self._fleet, self._name = fleet, name
        self._url = f"{host.url}/v1/status"
        self.address = host.url.removeprefix("http://")
        self.path = "/v1/status"
        if port == "own peers":
            self.address, self.path = host.peer, "/peer/recall"

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._fleet.get_pid(self._name)

    async def ask(self) -> int:
        """Ask for the host's status, whichever port is attacked."""
        return await _get(self._url)


async def _get(url: str) -> int:
    async with (
        asyncio.timeout(HANG_LIMIT_S),
        aiohttp.ClientSession() as session,
        session.get(url) as response,
    ):
        await response.read()
        return response.status
