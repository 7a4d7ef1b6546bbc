"""A server leaves while the store cuts watches that are waiting."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand-2"))

import harness  # noqa: E402

DRAIN_S = 2.0
LEAVES_AFTER_S = 6.4
SERVES_ON_S = 4.0
GOES_ON_S = 6.0
CUT_INTERVAL_S = 1.0
CLIENTS_PER_HOST = 8
ZONES = ("north-a", "south-a")
"""One host in each region, so that each watches the store itself."""


class CuttingStore(harness.Store):
    """A sound store that may cut the watches that are waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.cuts = 0
        self._waiting: dict[int, harness.web.Request] = {}
        self._serve_watch = self.items._serve_watch
        self.items._serve_watch = self._serve_and_note

    async def _serve_and_note(
        self, request: harness.web.Request
    ) -> harness.web.Response:
        self._waiting[id(request)] = request
        try:
            return await self._serve_watch(request)
        finally:
            del self._waiting[id(request)]

    async def cut(self, record: harness.Record) -> None:
        """Cut the waiting watches at an interval, until cancelled."""
        while True:
            await asyncio.sleep(CUT_INTERVAL_S)
            for request in list(self._waiting.values()):
                if request.transport is not None:
                    request.transport.close()
                    self.cuts += 1
                    record.note("cut a waiting watch")


class LeavingServer(harness.Server):
    """A server that ends while it may still be at work."""

    def __init__(self, *options: object, **named: object) -> None:
        super().__init__(*options, **named)
        self.ran_s: list[float] = []
        self.broken_off: list[str] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._at_work: set[str] = set()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        message: harness.Message,
    ) -> None:
        self._writers.add(writer)
        request_id = message.get("Cowslipshift-Request-Id")
        self.ran_s.append(time.monotonic())
        self._at_work.add(request_id)
        try:
            await super()._answer(reader, writer, message)
        finally:
            self._at_work.discard(request_id)

    def end(self) -> None:
        """End, as a process does: connections are closed."""
        self.stop()
        self.broken_off = sorted(self._at_work)
        for writer in self._writers:
            writer.transport.abort()


async def order(record: harness.Record, host: harness.Host, name: str) -> None:
    """Send orders one after the other until cancelled."""
    number = 0
    while True:
        number += 1
        request_id = f"{name}-{number}"
        try:
            answer = await harness.send(
                host.front,
                "POST",
                "/orders/1",
                harness.build_headers(request_id, 4000, name),
                b"order",
            )
            record.note(f"answered {request_id}: {answer.start.split()[1]}")
        except (OSError, asyncio.IncompleteReadError) as error:
            record.note(f"no answer to {request_id}: {error!r:.80}")
        await asyncio.sleep(0.05)


async def run_case(record: harness.Record) -> int:
    """Return the exit status."""
    leaving = LeavingServer(record, "i-0", "orders", "north-a", work_s=0.3)
    servers = [
        leaving,
        *(
            harness.Server(record, f"i-{n}", "orders", "north-a", work_s=0.3)
            for n in range(1, 4)
        ),
    ]
    fleet = harness.Deployment(record, len(ZONES), servers, ZONES)
    fleet.store = store = CuttingStore()
    tasks = []
    try:
        await fleet.start(
            [
                {
                    "name": "orders",
                    "prefix": "/orders/",
                    "type": "non_idempotent",
                    "service": "orders",
                    "timeout_ms": 1200,
                    "target_latency_ms": 600,
                }
            ]
        )
        await fleet.start_hosts()
        tasks = [
            asyncio.create_task(order(record, host, f"{host.name}-{n}"))
            for host in fleet.hosts
            for n in range(CLIENTS_PER_HOST)
        ]
        if harness.has_trouble():
            tasks.append(asyncio.create_task(store.cut(record)))
        await asyncio.sleep(LEAVES_AFTER_S)
        store.items.delete(f"servers/{leaving.identity}")
        gone_s = time.monotonic()
        record.note(f"the store has removed the entry of {leaving.identity}")
        await asyncio.sleep(SERVES_ON_S)
        leaving.end()
        record.note(
            f"{leaving.identity} ends, {SERVES_ON_S} s after the removal of "
            f"its entry, at work on {leaving.broken_off}"
        )
        await asyncio.sleep(GOES_ON_S)
        late = [s - gone_s for s in leaving.ran_s if s - gone_s > DRAIN_S]
        if not leaving.ran_s or leaving.ran_s[0] > gone_s:
            raise harness.CannotRun("the server got nothing before it left")
        record.note(
            f"{store.cuts} watches cut; {len(late)} requests reached "
            f"{leaving.identity} later than {DRAIN_S} s after the removal, "
            f"the last {max(late, default=0.0):.3f} s after it; "
            f"{len(leaving.broken_off)} orders were broken off by its end"
        )
        return harness.BROKEN if late else harness.HELD
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.stop()


harness.run(run_case, FOLDER)
