"""An upstream: it registers in the store, runs requests, and leaves."""

from __future__ import annotations

import asyncio
import json
import time
from typing import TYPE_CHECKING

from . import wire

if TYPE_CHECKING:
    from .record import Record
    from .store import Store

QUEUE_PER_SLOT = 3


class Upstream:
    """One upstream.

    Args:
        record: Gets a line for each request that arrives, runs or ends.
        store: Where it registers.
        identity: Its id.
        service: Name of its service.
        zone: Its zone.
        work_s: Time that a request takes.
        slots: Requests that it runs at once.

    Attributes:
        arrived: Time of arrival and id of each request that it did not
            reject.
        runs: Ids of the requests that it began to run.
        lost: Ids of requests that it ran as it exited.
    """

    def __init__(
        self,
        record: Record,
        store: Store,
        identity: str,
        service: str,
        zone: str,
        work_s: float = 0.1,
        slots: int = 5,
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.arrived: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.lost: list[str] = []
        self.address = ""
        self._record = record
        self._store = store
        self._slots = slots
        self._free = asyncio.Semaphore(slots)
        self._held = 0
        self._running: set[str] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._born = int(time.time() * 1000)
        self._seq = 0

    async def start(self) -> None:
        """Listen and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Write the entry."""
        self.write_entry(self.build_entry(state))

    def write_entry(self, entry: bytes) -> None:
        """Write an entry that was built now or earlier."""
        self._store.put(f"servers/{self.identity}", entry)

    def build_entry(self, state: str) -> bytes:
        """Return its next entry."""
        self._seq += 1
        entry = {
            "address": self.address,
            "info": {
                "service": self.service,
                "zone": self.zone,
                "version": "v1",
                "concurrency": self._slots,
            },
            "status": {
                "state": state,
                "seq": self._seq,
                "cold_remaining_ms": 0,
            },
            "born": self._born,
        }
        return json.dumps(entry).encode()

    def deregister(self) -> None:
        """Remove the entry; it goes on serving."""
        self._store.delete(f"servers/{self.identity}")

    def exit(self) -> None:
        """End, with the requests that it runs."""
        assert self._server is not None
        self._server.close()
        self.lost = sorted(self._running)
        self._record.write(
            f"upstream {self.identity} exits; it was running "
            f"{len(self.lost)}: {' '.join(self.lost)}"
        )
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: wire.Message) -> bytes:
        identity = request.get("Cowslipshift-Request-Id")
        own = ("Cowslipshift-Request-Id", identity)
        if request.get("Cowslipshift-Target-Instance") != self.identity:
            return wire.build_answer(
                421, b"", own, ("Cowslipshift-Instance-Id", self.identity)
            )
        if self._held >= self._slots * (1 + QUEUE_PER_SLOT):
            return wire.build_answer(
                503, b"", own, ("Cowslipshift-Not-Executed", "1")
            )
        self._held += 1
        self.arrived.append((time.monotonic(), identity))
        self._record.write(
            f"upstream {self.identity} ({self.service}) gets {identity} "
            f"{request.start[0]} {request.start[1]}, {len(request.body)} bytes"
        )
        try:
            async with self._free:
                self.runs.append(identity)
                self._running.add(identity)
                await asyncio.sleep(self.work_s)
        finally:
            self._held -= 1
            self._running.discard(identity)
        body = f"{self.identity} ran {identity}".encode()
        load = f"{len(self._running)},0,{self._slots}"
        return wire.build_answer(
            200,
            body,
            own,
            ("Cowslipshift-Response-Signature", f"{self.identity}.{identity}"),
            ("Cowslipshift-Server-Load", load),
        )
