"""A small stand-in for a backend server.

It counts what runs at once, records what it ran and which headers came
with it, and can be told over ``/control`` to misbehave.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

from aiohttp import web
import msgspec

MAX_RECORDS = 100_000


class Behaviour(msgspec.Struct):
    """How the server behaves.

    Attributes:
        slots: Concurrent requests it can take without slowing down.
        service_ms: Time to answer a request.
        jitter: Relative spread of the time to answer.
        cold_ms: Extra time of requests right after the start.
        cold_for_s: Time in which the extra time fades out.
        fail_ratio: Fraction of requests answered with 500.
        fail_path: Paths that ``fail_ratio`` is limited to.
        fail_above: Concurrency above which ``fail_ratio`` applies.
        shed_above: Concurrency above which requests are shed with 503.
        draining: Refuse new work with 503 and a drain header.
        silent: Accept requests and never answer.
        silent_old: Never answer on connections opened before this was set.
        health: Status code of the health endpoint.
        reported_load: Load that is reported; ``None`` for the true one.
        answer_bytes: Size of the answer.
    """

    slots: int = 4
    service_ms: float = 10.0
    jitter: float = 0.0
    cold_ms: float = 0.0
    cold_for_s: float = 0.0
    fail_ratio: float = 0.0
    fail_path: str = "/"
    fail_above: int = 0
    shed_above: int = 0
    draining: bool = False
    silent: bool = False
    silent_old: bool = False
    health: int = 200
    reported_load: float | None = None
    answer_bytes: int = 64


class RequestRecord(msgspec.Struct):
    """One request that was run."""

    request_id: str
    idempotency_key: str
    path: str
    account: str
    headers: dict[str, str]
    started_s: float
    finished_s: float | None = None
    outcome: str = "running"


class BackendStandIn:
    """The server and the handlers of its endpoints.

    Args:
        name: Name of the server, returned with each answer.
        version: Version of the service, returned with each answer.
        behaviour: How it behaves at first.
        seed: Seed of its random numbers.
    """

    def __init__(
        self,
        name: str,
        version: str = "1",
        behaviour: Behaviour | None = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.version = version
        self.behaviour = behaviour or Behaviour()
        self.records: list[RequestRecord] = []
        self.in_flight = 0
        self.max_in_flight = 0
        self.shed_count = 0
        self.drain_refusal_count = 0
        self._random = random.Random(seed)
        self._started_s = time.monotonic()
        self._muted: set[Any] = set()
        self._connections: set[Any] = set()

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(client_max_size=64 * 1024 * 1024)
        router = application.router
        router.add_get("/health", self._handle_health)
        router.add_get("/load", self._handle_load)
        router.add_post("/control/behaviour", self._handle_behaviour)
        router.add_get("/control/records", self._handle_records)
        router.add_get("/control/stats", self._handle_stats)
        router.add_route("*", "/{path:.*}", self._handle_request)
        return application

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(status=self.behaviour.health)

    async def _handle_load(self, request: web.Request) -> web.Response:
        load = self.behaviour.reported_load
        if load is None:
            load = self.in_flight / self.behaviour.slots
        return web.json_response({"load": load})

    async def _handle_behaviour(self, request: web.Request) -> web.Response:
        known = msgspec.to_builtins(self.behaviour)
        update = await request.json()
        known.update(update)
        if update.get("silent_old"):
            self._muted = set(self._connections)
        self.behaviour = msgspec.convert(known, Behaviour)
        return web.json_response(known)

    async def _handle_records(self, request: web.Request) -> web.Response:
        return web.json_response(msgspec.to_builtins(self.records))

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "name": self.name,
                "version": self.version,
                "running": self.in_flight,
                "most_running": self.max_in_flight,
                "slots": self.behaviour.slots,
                "requests": len(self.records),
                "shed": self.shed_count,
                "turned_away": self.drain_refusal_count,
            }
        )

    async def _handle_request(self, request: web.Request) -> web.Response:
        behaviour = self.behaviour
        self._connections.add(request.transport)
        if behaviour.draining:
            self.drain_refusal_count += 1
            return web.Response(
                status=503, headers={"X-Backend-Draining": "true"}
            )
        if behaviour.shed_above and self.in_flight >= behaviour.shed_above:
            self.shed_count += 1
            return web.Response(status=503, headers={"X-Backend-Shed": "true"})
        record = self._open_record(request)
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        try:
            return await self._run(request, record)
        except asyncio.CancelledError:
            record.outcome = "cancelled"
            raise
        finally:
            self.in_flight -= 1
            record.finished_s = time.monotonic()

    def _open_record(self, request: web.Request) -> RequestRecord:
        record = RequestRecord(
            request_id=request.headers.get("X-Request-Id", ""),
            idempotency_key=request.headers.get("Idempotency-Key", ""),
            path=request.path_qs,
            account=request.headers.get("X-Client-Account", ""),
            headers=dict(request.headers),
            started_s=time.monotonic(),
        )
        if len(self.records) < MAX_RECORDS:
            self.records.append(record)
        return record

    async def _run(
        self, request: web.Request, record: RequestRecord
    ) -> web.Response:
        behaviour = self.behaviour
        body = await request.read()
        muted = behaviour.silent_old and request.transport in self._muted
        if behaviour.silent or muted:
            record.outcome = "silent"
            await asyncio.sleep(3600)
        await asyncio.sleep(self._draw_service_s())
        fails = (
            self._random.random() < behaviour.fail_ratio
            and request.path.startswith(behaviour.fail_path)
            and self.in_flight > behaviour.fail_above
        )
        record.outcome = "failed" if fails else "done"
        return web.Response(
            status=500 if fails else 200,
            body=body or b"x" * behaviour.answer_bytes,
            headers={
                "X-Backend-Server": self.name,
                "X-Backend-Version": self.version,
                "X-Request-Id": record.request_id,
            },
        )

    def _draw_service_s(self) -> float:
        behaviour = self.behaviour
        time_ms = behaviour.service_ms * (
            1.0 + behaviour.jitter * (2.0 * self._random.random() - 1.0)
        )
        if self.in_flight > behaviour.slots:
            time_ms *= self.in_flight / behaviour.slots
        age_s = time.monotonic() - self._started_s
        if behaviour.cold_for_s and age_s < behaviour.cold_for_s:
            time_ms += behaviour.cold_ms * (1 - age_s / behaviour.cold_for_s)
        return time_ms / 1000
