"""Stand-in for a backend server.

It counts concurrent requests, records each request with its headers, and
injects the faults that are set over ``/control``.
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
    """Performance of the server and the faults that it injects.

    Attributes:
        slots: Concurrent requests that it serves without slowing down.
        service_ms: Service time of a request.
        jitter: Relative spread of the service time.
        cold_ms: Extra service time right after the start.
        cold_for_s: Period in which the extra time falls linearly to 0.
        fail_ratio: Fraction of requests answered with 500.
        fail_path: Prefix of the paths that ``fail_ratio`` applies to.
        fail_above: Concurrency above which ``fail_ratio`` applies.
        shed_above: Requests in flight from which new ones are shed with
            503; 0 for no limit.
        draining: Refuse new requests with 503 and a drain header.
        silent: Accept requests and never answer.
        silent_old: Never answer on connections opened before this was set.
        status: Status code of the answers to requests that succeed.
        health: Status code of the health endpoint.
        reported_load: Load to report; ``None`` for the actual load.
        answer_bytes: Size of the answer to a request without a body.
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
    status: int = 200
    health: int = 200
    reported_load: float | None = None
    answer_bytes: int = 64


class RequestRecord(msgspec.Struct):
    """One request that the server accepted, and its outcome."""

    request_id: str
    idempotency_key: str
    path: str
    account: str
    headers: dict[str, str]
    started_s: float
    finished_s: float | None = None
    outcome: str = "running"


class BackendStandIn:
    """HTTP handlers and state of one backend server.

    Args:
        name: Name of the server, returned with each answer.
        version: Version of the service, returned with each answer.
        behaviour: Initial behaviour.
        seed: Seed of the random number generator.
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
        self._silenced_transports: set[Any] = set()
        self._transports: set[Any] = set()

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
        settings = msgspec.to_builtins(self.behaviour)
        update = await request.json()
        settings.update(update)
        if update.get("silent_old"):
            self._silenced_transports = set(self._transports)
        self.behaviour = msgspec.convert(settings, Behaviour)
        return web.json_response(settings)

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
        self._transports.add(request.transport)
        if behaviour.draining:
            self.drain_refusal_count += 1
            return _build_rejection(request, "X-Backend-Draining")
        if behaviour.shed_above and self.in_flight >= behaviour.shed_above:
            self.shed_count += 1
            return _build_rejection(request, "X-Backend-Shed")
        record = self._add_record(request)
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

    def _add_record(self, request: web.Request) -> RequestRecord:
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
        is_silenced = (
            behaviour.silent_old
            and request.transport in self._silenced_transports
        )
        if behaviour.silent or is_silenced:
            record.outcome = "silent"
            await asyncio.sleep(3600)
        await asyncio.sleep(self._draw_service_time_s())
        fails = (
            self._random.random() < behaviour.fail_ratio
            and request.path.startswith(behaviour.fail_path)
            and self.in_flight > behaviour.fail_above
        )
        record.outcome = "failed" if fails else "done"
        return web.Response(
            status=500 if fails else behaviour.status,
            body=body or b"x" * behaviour.answer_bytes,
            headers={
                "X-Backend-Server": self.name,
                "X-Backend-Version": self.version,
                "X-Request-Id": record.request_id,
            },
        )

    def _draw_service_time_s(self) -> float:
        behaviour = self.behaviour
        service_ms = behaviour.service_ms * (
            1.0 + behaviour.jitter * (2.0 * self._random.random() - 1.0)
        )
        if self.in_flight > behaviour.slots:
            service_ms *= self.in_flight / behaviour.slots
        age_s = time.monotonic() - self._started_s
        if behaviour.cold_for_s and age_s < behaviour.cold_for_s:
            service_ms += behaviour.cold_ms * (
                1 - age_s / behaviour.cold_for_s
            )
        return service_ms / 1000


def _build_rejection(request: web.Request, word: str) -> web.Response:
    """Build the answer to a request that does not run."""
    request_id = request.headers.get("X-Request-Id", "")
    return web.Response(
        status=503, headers={word: "true", "X-Request-Id": request_id}
    )
