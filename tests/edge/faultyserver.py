"""Backend server whose answers are given byte by byte."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import Callable

REPEAT_DELAY_S = 0.1
LINGER_NONE = struct.pack("ii", 1, 0)
"""Lets a close reset the connection."""


class Step(msgspec.Struct):
    """Bytes that the server writes for a request.

    Attributes:
        delay_s: Time that it waits before it writes them.
        is_background: Whether it goes on without waiting for this step.
        is_held: Whether it writes them only when another request has come
            over the connection, where the answer to that one is due.
        ends: How the connection ends after them: "", "close" or "reset".
    """

    content: bytes
    delay_s: float = 0.0
    is_background: bool = False
    is_held: bool = False
    ends: str = ""


class FaultyServer:
    """Answers each request with the steps that a function gives.

    Args:
        script: Returns the steps for the headers of a request and its number,
            counted from 0 over all connections.

    Attributes:
        request_ids: Ids of the requests, in the order of their arrival.
        carriers: Number of the connection over which each of them came.
        connections: Connections that were opened.
    """

    def __init__(
        self, script: Callable[[dict[str, str], int], list[Step]]
    ) -> None:
        self.request_ids: list[str] = []
        self.carriers: list[int] = []
        self.connections = 0
        self.port = 0
        self._script = script
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> FaultyServer:
        """Listen on a port that the system chooses."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop listening."""
        for task in self._tasks:
            task.cancel()
        for writer in self._writers:
            writer.close()
        self._server.close()

    def stop_listening(self) -> None:
        """Accept no further connections."""
        self._server.close()

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"127.0.0.1:{self.port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        carrier = self.connections
        self._writers.append(writer)
        held: list[Step] = []
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                headers = await _read_request(reader)
                for step in held:
                    await self._take(step, writer)
                held = []
                number = len(self.request_ids)
                self.carriers.append(carrier)
                self.request_ids.append(
                    headers.get(names.REQUEST_ID_HEADER.lower(), "")
                )
                for step in self._script(headers, number):
                    if step.is_held:
                        held.append(step)
                        continue
                    if not step.is_background:
                        await self._take(step, writer)
                        continue
                    task = asyncio.create_task(self._take(step, writer))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
        writer.close()

    async def _take(self, step: Step, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(step.delay_s)
        writer.write(step.content)
        with contextlib.suppress(ConnectionError):
            await writer.drain()
        if step.ends == "reset":
            connection = writer.get_extra_info("socket")
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )
            writer.transport.abort()
        elif step.ends == "close":
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> dict[str, str]:
    head = await reader.readuntil(b"\r\n\r\n")
    headers = {}
    for line in head.decode().split("\r\n")[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    return headers


def build_answer(
    request_id: str, body: bytes, status: int | str = 200
) -> bytes:
    """Return a signed answer."""
    return (
        f"HTTP/1.1 {status} X\r\n{names.REQUEST_ID_HEADER}: {request_id}\r\n"
        f"{names.SIGNATURE_HEADER}: s\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def build_plain_answer(
    status: int | str, *lines: str, body: bytes = b"no"
) -> bytes:
    """Return an answer with some header lines."""
    head = "\r\n".join(
        (f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines)
    )
    return f"{head}\r\n\r\n".encode() + body


def build_shed_answer(request_id: str, status: int = 503) -> bytes:
    """Return the answer that the request was not executed."""
    return (
        f"HTTP/1.1 {status} X\r\n{names.REQUEST_ID_HEADER}: {request_id}\r\n"
        f"{names.NOT_EXECUTED_HEADER}: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


async def replace_servers(
    fleet: platformfleet.PlatformFleet,
    *servers: FaultyServer,
    service: str = platformfleet.WRITE_SERVICE,
) -> None:
    """Let faulty servers run a service in place of the fleet's own."""
    await replace_addresses(
        fleet, *(server.address for server in servers), service=service
    )


async def replace_addresses(
    fleet: platformfleet.PlatformFleet,
    *addresses: str,
    service: str = platformfleet.WRITE_SERVICE,
) -> None:
    """Register servers at some addresses in place of a service's own."""
    for identity, (own_service, _) in fleet.backend_locations.items():
        if own_service == service:
            fleet.store.delete(names.BACKEND_PREFIX + identity)
    any_backend = next(iter(fleet.backends.values()))
    for number, address in enumerate(addresses):
        fleet.store.put(
            f"{names.BACKEND_PREFIX}faulty-{service}-{number}",
            any_backend.build_entry(address, service, "north-a"),
        )
    inventory = fleet.hosts[0].balancer.inventory
    await platformfleet.wait_until(
        lambda: (
            {state.entry.address for state in inventory.list_servers(service)}
            == set(addresses)
        )
    )
