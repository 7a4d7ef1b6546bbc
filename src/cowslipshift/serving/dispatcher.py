"""Running requests on the backend servers whose slots this host owns."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Protocol
from typing import TYPE_CHECKING

import aiohttp
import yarl

from cowslipshift.coordination import budgets
from cowslipshift.peers import messages
from cowslipshift.serving import backends
from cowslipshift.serving import calls
from cowslipshift.serving import fairqueue
from cowslipshift.serving import refusals
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.coordination import homes
    from cowslipshift.serving import transport
    from cowslipshift.telemetry import metrics as metric
    from cowslipshift.world import atlas as atlases

MAX_ATTEMPTS = 3
MIN_TRY_S = 0.3
TRY_LATENCIES = 8.0
"""A try is given up after this many usual latencies."""

EAGER_BODY_BYTES = 65_536
SHED_PAUSE_S = 0.1
HOLD_MARGIN_S = 0.25
RETRIED_STATUSES = frozenset({500, 502, 503, 504})

DRAIN_HEADER = "X-Backend-Draining"
SHED_HEADER = "X-Backend-Shed"


class OutcomeListener(Protocol):
    """Learns the outcome of each attempt at a backend server."""

    def note_outcome(
        self,
        server: model.Server,
        route: str,
        latency_s: float,
        failed: bool,
    ) -> None:
        """Take note of one outcome."""


class VersionGuard(Protocol):
    """Decides which versions of a service may take a request."""

    def allows(self, server: model.Server, call: calls.Call) -> bool:
        """Tell whether a server may run a request right now."""


class _NotStartedError(Exception):
    """An attempt certainly did not run; another server may be tried."""


class _LostError(Exception):
    """An attempt may have run and its answer is lost.

    Attributes:
        blames: Whether the server itself is to blame.
    """

    def __init__(self, message: str, blames: bool) -> None:
        super().__init__(message)
        self.blames = blames


class _FailedError(Exception):
    """A server answered with a failure and another one may be tried."""


class _SilenceWatch:
    """Calls a check now and then until it is cancelled."""

    __slots__ = ("_check", "_handle", "_interval_s", "_loop")

    def __init__(
        self, loop: asyncio.AbstractEventLoop, check: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._check = check
        self._interval_s = 0.0
        self._handle: asyncio.TimerHandle | None = None

    def start(self, interval_s: float) -> None:
        """Begin to call the check."""
        self._interval_s = interval_s
        self._handle = self._loop.call_later(interval_s, self._run)

    def cancel(self) -> None:
        """Stop calling it."""
        if self._handle is not None:
            self._handle.cancel()

    def _run(self) -> None:
        self.start(self._interval_s)
        self._check()


class Dispatcher:
    """Queues requests for slots and runs them.

    Args:
        host: Name of this host.
        clock: Source of the present time.
        table: Tells which slots this host owns.
        sessions: HTTP sessions.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        table: homes.HomeTable,
        sessions: transport.Sessions,
        metrics: metric.Metrics,
    ) -> None:
        self._host = host
        self._clock = clock
        self._table = table
        self._sessions = sessions
        self._metrics = metrics
        self._log = logs.EventLog("dispatcher")
        self._atlas: atlases.Atlas | None = None
        self._region = ""
        self._backends: dict[str, backends.Backend] = {}
        self._services: dict[str, list[backends.Backend]] = {}
        self._queues: dict[str, fairqueue.FairQueue] = {}
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._listeners: list[OutcomeListener] = []
        self._guard: VersionGuard | None = None
        self._listed: set[str] = set()

    def add_listener(self, listener: OutcomeListener) -> None:
        """Tell a listener of all outcomes from now on."""
        self._listeners.append(listener)

    def set_guard(self, guard: VersionGuard) -> None:
        """Ask a guard before a server gets a request."""
        self._guard = guard

    def note_listing(self, server: str, is_leaving: bool) -> None:
        """Follow the platform's list of leaving hosts."""
        if is_leaving:
            self._listed.add(server)
        else:
            self._listed.discard(server)

    def apply(self, atlas: atlases.Atlas, data_centre: str) -> None:
        """Follow a new configuration."""
        now = self._clock.now()
        is_first = self._atlas is None
        self._atlas = atlas
        centre = atlas.fleet.data_centres.get(data_centre)
        self._services = {}
        if centre is None:
            self._backends = {}
            return
        self._region = centre.region
        known, self._backends = self._backends, {}
        for service, servers in centre.servers.items():
            self._services[service] = []
            for server in servers:
                backend = known.get(server.name)
                if backend is None:
                    backend = backends.Backend(server, now, not is_first)
                elif backend.server.version != server.version:
                    backend.warm_from_s = now
                backend.server = server
                self._backends[server.name] = backend
                self._services[service].append(backend)

    def count_running(self, server: str) -> int:
        """Return the slots of a server that this host has in use."""
        backend = self._backends.get(server)
        if backend is None:
            return 0
        return backend.count_used(self._clock.now())

    def count_all_running(self) -> int:
        """Return the requests in flight to backend servers."""
        return sum(backend.running for backend in self._backends.values())

    def measure_loads(self) -> list[messages.ServiceLoad]:
        """Return how busy the owned slots of each service are."""
        loads = [self.measure_load(service) for service in self._services]
        return [
            load for load in loads if load.usable or load.in_use or load.queued
        ]

    def measure_load(self, service: str) -> messages.ServiceLoad:
        """Return how busy the owned slots of one service are."""
        now = self._clock.now()
        usable = used = 0
        for backend, limit in self._list_limits(service, now):
            usable += limit
            used += min(limit, backend.count_used(now))
        queue = self._queues.get(service)
        queued = len(queue) if queue is not None else 0
        return messages.ServiceLoad(service, usable, used, queued)

    def serve_queues(self) -> None:
        """Give free slots to waiting requests."""
        for service in list(self._queues):
            self._serve_queue(service)

    async def run(self, call: calls.Call) -> calls.Reply:
        """Run a request on one of the owned servers.

        Raises:
            Refusal: No server answered; it says whether one may have run
                the request.
        """
        atlas = self._require_atlas()
        ratio = atlas.settings.resolve(
            "retry_ratio", self._clock.wall(), service=call.service
        )
        budget = self._budgets.setdefault(call.service, budgets.RetryBudget())
        budget.note_attempt(ratio)
        may_have_run = False
        for attempt in range(MAX_ATTEMPTS):
            backend = await self._acquire(call, may_have_run)
            try:
                return await self._try_once(
                    call, backend, fresh=attempt > 0, budget=budget
                )
            except _NotStartedError as error:
                self._log_attempt(call, backend, "not_started", error)
            except _FailedError as error:
                may_have_run = True
                self._log_attempt(call, backend, "failed", error)
            except _LostError as error:
                may_have_run = True
                self._log_attempt(call, backend, "lost", error)
                if error.blames:
                    self._blame(backend)
                self._check_retry(call, budget)
            if not call.body.is_replayable:
                break
        if may_have_run:
            raise refusals.refuse_unknown("no backend server's answer came")
        raise refusals.refuse_busy("no backend server took the request")

    def _check_retry(
        self, call: calls.Call, budget: budgets.RetryBudget
    ) -> None:
        if not call.idempotent:
            raise refusals.refuse_unknown(
                "the connection to the backend server was lost"
            )
        remaining_s = call.deadline_s - self._clock.now()
        if remaining_s <= 0.0:
            raise refusals.refuse_timeout()
        if not call.body.is_replayable or not budget.try_spend():
            raise refusals.refuse_unknown(
                "the connection to the backend server was lost"
            )
        self._metrics.count(self._metrics.retries, reason="lost")

    async def _acquire(
        self, call: calls.Call, may_have_run: bool
    ) -> backends.Backend:
        """Take a slot, waiting for one if that can help.

        Raises:
            Refusal: There is no slot in time.
        """
        atlas = self._require_atlas()
        queue = self._queues.setdefault(call.service, fairqueue.FairQueue())
        now = self._clock.now()
        backend = self._pick(call, now) if len(queue) == 0 else None
        try:
            if backend is None:
                backend = await self._wait(call, queue, atlas)
            self._check_start(call, backend)
        except refusals.Refusal as refusal:
            if may_have_run:
                raise refusals.refuse_unknown(
                    "no second attempt was possible"
                ) from refusal
            raise
        self._log.info(
            "place",
            request=call.id,
            service=call.service,
            account=call.account,
            server=backend.server.name,
            running=backend.running,
            slots=backend.server.slots,
            waited_ms=(self._clock.now() - now) * 1000,
        )
        return backend

    def _check_start(
        self, call: calls.Call, backend: backends.Backend
    ) -> None:
        atlas = self._require_atlas()
        if call.key_id and not atlas.contracts.is_active(call.key_id):
            self._release(backend, call.service)
            raise refusals.refuse_key_withdrawn()
        if self._clock.now() >= call.deadline_s:
            self._release(backend, call.service)
            raise refusals.refuse_late()

    async def _wait(
        self,
        call: calls.Call,
        queue: fairqueue.FairQueue,
        atlas: atlases.Atlas,
    ) -> backends.Backend:
        now = self._clock.now()
        weight = atlas.contracts.weigh(call.account)
        self._check_room(call, queue, weight, now)
        waiter = queue.push(call.account, weight, call.deadline_s)
        self._serve_queue(call.service)
        try:
            async with asyncio.timeout(call.deadline_s - now):
                backend = await asyncio.shield(waiter.ready)
        except TimeoutError as error:
            self._abandon(waiter, queue, call.service)
            raise refusals.refuse_late() from error
        except asyncio.CancelledError:
            self._abandon(waiter, queue, call.service)
            raise
        assert isinstance(backend, backends.Backend)
        return backend

    def _check_room(
        self,
        call: calls.Call,
        queue: fairqueue.FairQueue,
        weight: float,
        now: float,
    ) -> None:
        atlas = self._require_atlas()
        limits = self._list_limits(call.service, now)
        slots = sum(limit for _, limit in limits)
        if slots == 0:
            raise refusals.refuse_busy(
                f"host {self._host} has no slots of service {call.service}"
            )
        per_slot = atlas.settings.resolve(
            "queue_per_slot", self._clock.wall(), service=call.service
        )
        if not queue.allows(call.account, weight, int(per_slot * slots)):
            raise refusals.refuse_busy("too many requests wait already")
        latency_s = max(backend.latency_s for backend, _ in limits)
        rounds = 1 + math.floor(len(queue) / slots)
        if now + latency_s * (rounds + 1) > call.deadline_s:
            raise refusals.refuse_busy(
                "the queue is too long for the deadline",
                retry_after_ms=int(latency_s * rounds * 1000) + 1,
            )

    def _abandon(
        self,
        waiter: fairqueue.Waiter,
        queue: fairqueue.FairQueue,
        service: str,
    ) -> None:
        ready = waiter.ready
        if not ready.done():
            ready.cancel()
            queue.remove(waiter)
        elif not ready.cancelled() and ready.exception() is None:
            backend = ready.result()
            assert isinstance(backend, backends.Backend)
            self._release(backend, service)

    def _list_limits(
        self, service: str, now: float
    ) -> list[tuple[backends.Backend, int]]:
        """Return the servers of a service with the slots to use."""
        if not self._table.may_act(now):
            return []
        limits = []
        for backend in self._services.get(service, ()):
            usable = self._table.count_owned(
                backend.resource, backend.server.slots, now
            )
            if usable > 0:
                limits.append((backend, self._ramp(backend, usable, now)))
        return limits

    def _ramp(self, backend: backends.Backend, usable: int, now: float) -> int:
        if backend.is_out(now) or backend.server.name in self._listed:
            return 0
        if backend.warm_from_s is None:
            return usable
        ramp_s = self._require_atlas().settings.resolve(
            "cold_ramp_s",
            self._clock.wall(),
            service=backend.server.service,
            server=backend.server.name,
        )
        return backend.limit_slots(usable, now, ramp_s)

    def _pick(
        self, call: calls.Call | None, now: float, service: str = ""
    ) -> backends.Backend | None:
        """Take a slot of the least busy server that may run the request."""
        best: backends.Backend | None = None
        best_score = (1.0, 0.0)
        name = call.service if call else service
        for backend, limit in self._list_limits(name, now):
            used = backend.count_used(now)
            if used >= limit:
                continue
            if (
                call is not None
                and self._guard is not None
                and not self._guard.allows(backend.server, call)
            ):
                continue
            score = (used / limit, backend.latency_s)
            if best is None or score < best_score:
                best, best_score = backend, score
        if best is None or not self._has_region_room(now):
            return None
        best.running += 1
        return best

    def _has_region_room(self, now: float) -> bool:
        """Tell whether this host's part of the region's capacity is free.

        The capacity is divided by slots, and each server's slots have one
        owner, so that the parts never sum to more than the whole.
        """
        region = self._require_atlas().fleet.regions.get(self._region)
        if region is None or region.capacity is None:
            return True
        owned = used = 0
        for backend in self._backends.values():
            owned += self._table.count_usable(
                backend.resource, backend.server.slots, now
            )
            used += backend.count_used(now)
        part = region.capacity * owned // max(1, region.count_slots())
        return used < part

    def _serve_queue(self, service: str) -> None:
        queue = self._queues[service]
        while len(queue):
            now = self._clock.now()
            backend = self._pick(None, now, service)
            if backend is None:
                return
            waiter = queue.pop(now)
            if waiter is None:
                backend.running -= 1
                return
            waiter.ready.set_result(backend)

    def _release(self, backend: backends.Backend, service: str) -> None:
        backend.running -= 1
        if service in self._queues:
            self._serve_queue(service)

    async def _try_once(
        self,
        call: calls.Call,
        backend: backends.Backend,
        fresh: bool,
        budget: budgets.RetryBudget,
    ) -> calls.Reply:
        stack = contextlib.AsyncExitStack()
        stack.callback(self._release, backend, call.service)
        try:
            return await self._send(call, backend, fresh, stack, budget)
        except BaseException:
            await stack.aclose()
            raise

    async def _send(
        self,
        call: calls.Call,
        backend: backends.Backend,
        fresh: bool,
        stack: contextlib.AsyncExitStack,
        budget: budgets.RetryBudget,
    ) -> calls.Reply:
        started_s = self._clock.now()
        suspect = started_s < backend.suspect_until_s
        pooled = call.idempotent and not fresh and not suspect
        try:
            response = await self._open(call, backend, pooled, started_s)
        except aiohttp.ClientConnectorError as error:
            backend.note_failure()
            self._eject_if_failing(backend)
            raise _NotStartedError(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._note_lost(call, backend)
            if pooled:
                backend.suspect_connections(started_s)
            raise _LostError(repr(error), blames=not pooled) from error
        except asyncio.CancelledError:
            backend.hold(self._clock.now() + backends.CANCEL_GRACE_S)
            raise
        stack.callback(self._close_response, response, backend)
        self._check_unrun(backend, response)
        if response.status in RETRIED_STATUSES:
            self._consider_retry(call, backend, response, started_s, budget)
        reply = calls.Reply(
            response.status,
            calls.copy_headers(response),
            response=response,
            stack=stack,
            server=backend.server.name,
        )
        if reply.length is not None and reply.length <= EAGER_BODY_BYTES:
            await self._read_eagerly(call, backend, reply)
        self._note_answer(call, backend, response.status, started_s)
        return reply

    async def _open(
        self,
        call: calls.Call,
        backend: backends.Backend,
        pooled: bool,
        now: float,
    ) -> aiohttp.ClientResponse:
        remaining_s = call.deadline_s - now
        session = self._sessions.pooled if pooled else self._sessions.fresh
        url = yarl.URL(
            backend.server.url.rstrip("/") + call.path, encoded=True
        )
        async with asyncio.timeout(remaining_s) as timeout:
            watch = self._watch_silence(call, backend, now, timeout)
            try:
                return await session.request(
                    call.method,
                    url,
                    headers=self._build_headers(call, remaining_s),
                    data=call.body.open(),
                    allow_redirects=False,
                )
            finally:
                watch.cancel()

    def _watch_silence(
        self,
        call: calls.Call,
        backend: backends.Backend,
        started_s: float,
        timeout: asyncio.Timeout,
    ) -> _SilenceWatch:
        """Give up a try whose connection has probably gone silent.

        That is so when later requests are answered, or when half of the
        time is over and another try would still fit.
        """
        loop = asyncio.get_running_loop()
        usual_s = max(MIN_TRY_S, TRY_LATENCIES * backend.latency_s)
        half_s = (call.deadline_s - started_s) / 2

        def check() -> None:
            now = self._clock.now()
            if not (call.idempotent and call.body.content is not None):
                return
            half_over = now - started_s >= half_s > usual_s
            if half_over or backend.is_overtaken(started_s, now):
                timeout.reschedule(loop.time())

        watch = _SilenceWatch(loop, check)
        watch.start(min(usual_s, half_s))
        return watch

    def _build_headers(
        self, call: calls.Call, remaining_s: float
    ) -> list[tuple[str, str]]:
        headers = [
            *call.headers,
            ("X-Request-Id", call.id),
            ("X-Client-Account", call.account),
            ("X-Request-Timeout-Ms", str(max(1, int(remaining_s * 1000)))),
        ]
        if call.key:
            headers.append(("Idempotency-Key", call.key))
        return headers

    def _check_unrun(
        self, backend: backends.Backend, response: aiohttp.ClientResponse
    ) -> None:
        if response.status != 503:
            return
        now = self._clock.now()
        if DRAIN_HEADER in response.headers:
            backend.note_draining(now)
            self._log.info("server_draining", server=backend.server.name)
            raise _NotStartedError("the server drains")
        if SHED_HEADER in response.headers:
            backend.hold(now + SHED_PAUSE_S)
            raise _NotStartedError("the server sheds load")

    def _consider_retry(
        self,
        call: calls.Call,
        backend: backends.Backend,
        response: aiohttp.ClientResponse,
        started_s: float,
        budget: budgets.RetryBudget,
    ) -> None:
        """Try another server after a failure, where that is harmless."""
        if not call.idempotent or not call.body.is_replayable:
            return
        latency_s = self._clock.now() - started_s
        remaining_s = call.deadline_s - self._clock.now()
        if remaining_s < 2 * latency_s or not budget.try_spend():
            return
        self._note_answer(call, backend, response.status, started_s)
        self._metrics.count(self._metrics.retries, reason="failed")
        raise _FailedError(f"status {response.status}")

    async def _read_eagerly(
        self, call: calls.Call, backend: backends.Backend, reply: calls.Reply
    ) -> None:
        remaining_s = call.deadline_s - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                await reply.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._note_lost(call, backend)
            raise _LostError(repr(error), blames=False) from error

    def _note_lost(self, call: calls.Call, backend: backends.Backend) -> None:
        """Keep the slot of a request that may still be running."""
        backend.hold(call.deadline_s)

    def _note_answer(
        self,
        call: calls.Call,
        backend: backends.Backend,
        status: int,
        started_s: float,
    ) -> None:
        now = self._clock.now()
        failed = status >= 500
        latency_s = now - started_s
        backend.note_answer(latency_s, failed, now)
        for listener in self._listeners:
            listener.note_outcome(
                backend.server, call.route, latency_s, failed
            )
        if failed:
            self._eject_if_failing(backend)

    def _blame(self, backend: backends.Backend) -> None:
        backend.note_failure()
        self._eject_if_failing(backend)

    def _eject_if_failing(self, backend: backends.Backend) -> None:
        """Stop using a failing server, unless too many look bad at once."""
        if not backend.should_eject():
            return
        now = self._clock.now()
        members = self._services.get(backend.server.service, [])
        out = sum(now < member.ejected_until_s for member in members)
        if backend.is_out(now) or out + 1 > max(
            1, backends.EJECT_MAX_PART * len(members)
        ):
            return
        lasts_s = backend.eject(now)
        self._log.warn(
            "server_ejected", server=backend.server.name, seconds=lasts_s
        )

    def _close_response(
        self, response: aiohttp.ClientResponse, backend: backends.Backend
    ) -> None:
        if not response.content.at_eof():
            backend.hold(self._clock.now() + backends.CANCEL_GRACE_S)
            response.close()
            return
        response.release()

    def _log_attempt(
        self,
        call: calls.Call,
        backend: backends.Backend,
        result: str,
        error: Exception,
    ) -> None:
        self._log.info(
            "attempt_failed",
            request=call.id,
            server=backend.server.name,
            result=result,
            reason=error,
        )

    def _require_atlas(self) -> atlases.Atlas:
        if self._atlas is None:
            raise refusals.refuse_busy("this host has no configuration yet")
        return self._atlas


def build_resources(
    atlas: atlases.Atlas, data_centre: str
) -> dict[str, float]:
    """Return the slot resources of a data centre with their hold times.

    The hold is the longest time that a request may run, and a margin in
    which a backend server notices the end of the deadline.
    """
    centre = atlas.fleet.data_centres.get(data_centre)
    if centre is None:
        return {}
    holds = {}
    for name, servers in centre.servers.items():
        service = atlas.services.find_service(name)
        assert service is not None
        for server in servers:
            holds[backends.name_resource(server.name)] = (
                service.max_deadline_ms / 1000
            )
    return holds
