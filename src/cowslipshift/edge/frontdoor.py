"""Takes callers' requests and sees them through to one answer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift.edge import exceptions
from cowslipshift.edge import upstream
from cowslipshift.platform import ingress
from cowslipshift.steering import desk as desks
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.edge import metrics as metric
    from cowslipshift.steering import model

ANSWER_MARGIN_S = 0.03
"""Time to write the last answer before the time is up."""

MIN_LEFT_S = 0.02
MAX_BAD_CONNECTS = 4
UNREADY_RETRY_S = 0.5
MAX_URL_BYTES = 16_384


class Refused(Exception):
    """The request gets an answer of the system's own.

    Attributes:
        status: HTTP status.
        code: What callers and operators may match on.
        retry_after_s: When to come back; ``None`` when it is not said.
    """

    def __init__(
        self, status: int, code: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(code)
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


class FrontDoor:
    """The handler of callers' requests.

    Args:
        clock: Source of the present time.
        desk: The decisions.
        client: Connections to backend servers.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        desk: desks.Desk,
        client: upstream.UpstreamClient,
        metrics: metric.EdgeMetrics,
        on_urgent: Callable[[], None],
    ) -> None:
        self.running = 0
        self.is_closing = False
        self._clock = clock
        self._desk = desk
        self._client = client
        self._metrics = metrics
        self._on_urgent = on_urgent
        self._log = logs.EventLog("request")
        self._kept: set[asyncio.Task[web.Response]] = set()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        self.running += 1
        arrived_s = self._clock.now()
        said = ingress.read_request(request.headers)
        try:
            response = await self._serve(request, said, arrived_s)
        except Refused as refusal:
            response = self._refuse(refusal, said, arrived_s)
        finally:
            self.running -= 1
        if self.is_closing:
            response.force_close()
        return response

    async def _serve(
        self,
        request: web.BaseRequest,
        said: ingress.Request,
        arrived_s: float,
    ) -> web.Response:
        plan = self._desk.plan
        if plan is None:
            raise Refused(503, "no_configuration", UNREADY_RETRY_S)
        path = request.raw_path.partition("?")[0]
        route = self._desk.find_route(request.headers.get("Host", ""), path)
        if route is None:
            raise Refused(404, "route_unknown")
        account = self._desk.find_account(said.key) if said.key else None
        if account is None and not route.is_public and plan.accounts:
            raise Refused(401, "key_unknown")
        body = await self._read_body(request, plan.limits.body_bytes)
        now = self._clock.now()
        if account is not None and not route.is_public:
            self._admit(account, now)
        left_s = min(said.deadline_s, route.timeout_s) - ANSWER_MARGIN_S
        call = self._desk.open_call(
            said.id, route, account, said.thing, arrived_s + left_s, now
        )
        attempts = _Attempts(self, request, said, call, body)
        if route.is_idempotent:
            return await attempts.run()
        # The caller may leave; what may be at work must not be broken off.
        task = asyncio.ensure_future(attempts.run())
        self._kept.add(task)
        task.add_done_callback(self._forget)
        return await asyncio.shield(task)

    def _forget(self, task: asyncio.Task[web.Response]) -> None:
        self._kept.discard(task)
        if not task.cancelled():
            task.exception()

    def _admit(self, account: model.Account, now: float) -> None:
        meter = self._desk.accounts.find_meter(account.name)
        if meter is None:
            return
        silence = self._desk.find_silence(now)
        wait_s = meter.try_admit(now, silence)
        if wait_s > 0.0:
            self._log.info(
                "account_limited",
                account=account.name,
                used=meter.measure_used(now, silence),
                limit=meter.measure_limit(now),
                silent_hosts=len(silence.names),
            )
            raise Refused(429, "account_rate", wait_s)
        if meter.is_urgent(silence.hosts):
            self._on_urgent()

    async def _read_body(
        self, request: web.BaseRequest, limit: int
    ) -> bytes | None:
        if not request.can_read_body:
            return None
        parts = []
        size = 0
        async for part in request.content.iter_any():
            size += len(part)
            if size > limit:
                raise Refused(413, "body_too_large")
            parts.append(part)
        return b"".join(parts)

    def _refuse(
        self, refusal: Refused, said: ingress.Request, arrived_s: float
    ) -> web.Response:
        took_s = self._clock.now() - arrived_s
        self._metrics.count_refusal(refusal.code, refusal.status)
        self._log.info(
            "refused",
            id=said.id,
            status=refusal.status,
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
            took_ms=took_s * 1000,
        )
        return web.Response(
            status=refusal.status,
            body=msgspec.json.encode({"error": refusal.code}),
            headers=ingress.build_refusal(said.id, refusal.retry_after_s),
        )

    @property
    def clock(self) -> clocks.Clock:
        """Source of the present time."""
        return self._clock

    @property
    def desk(self) -> desks.Desk:
        """The decisions."""
        return self._desk

    @property
    def client(self) -> upstream.UpstreamClient:
        """Connections to backend servers."""
        return self._client

    @property
    def metrics(self) -> metric.EdgeMetrics:
        """Metrics of the host."""
        return self._metrics

    @property
    def log(self) -> logs.EventLog:
        """Where requests are logged."""
        return self._log


class _Attempts:
    """The attempts of one request."""

    __slots__ = (
        "_bad_connects",
        "_body",
        "_call",
        "_door",
        "_last",
        "_may_have_run",
        "_request",
        "_said",
        "_sent",
    )

    def __init__(
        self,
        door: FrontDoor,
        request: web.BaseRequest,
        said: ingress.Request,
        call: desks.Call,
        body: bytes | None,
    ) -> None:
        self._door = door
        self._request = request
        self._said = said
        self._call = call
        self._body = body
        self._sent = 0
        self._bad_connects = 0
        self._may_have_run = False
        self._last: tuple[upstream.Answer, str] | None = None

    async def run(self) -> web.Response:
        """Try until there is an answer to give."""
        while True:
            choice = self._choose()
            if isinstance(choice, desks.Refusal):
                return self._give_up(choice)
            answer = await self._try(choice)
            if answer is not None:
                return answer

    def _choose(self) -> desks.Choice | desks.Refusal:
        call, now = self._call, self._door.clock.now()
        if call.deadline_s - now < MIN_LEFT_S:
            return desks.Refusal("late", 0.1)
        if self._sent:
            if self._sent >= max(1, call.route.attempts):
                return desks.Refusal("attempts", 0.2)
            choice = self._door.desk.choose_backend(call, now)
            if isinstance(choice, desks.Refusal):
                return choice
            if not self._door.desk.try_retry(call.service):
                return desks.Refusal("retry_budget", 0.2)
            return choice
        if self._bad_connects >= MAX_BAD_CONNECTS:
            return desks.Refusal("unreachable", 0.2)
        return self._door.desk.choose_backend(call, now)

    def _give_up(self, refusal: desks.Refusal) -> web.Response:
        if self._last is not None:
            answer, backend = self._last
            return self._answer(answer, backend)
        if self._may_have_run:
            raise Refused(
                504 if refusal.reason == "late" else 502, "outcome_unknown"
            )
        raise Refused(503, refusal.reason, refusal.retry_after_s)

    async def _try(self, choice: desks.Choice) -> web.Response | None:
        call, door = self._call, self._door
        state, entry = choice.state, choice.state.entry
        now = door.clock.now()
        left_s = call.deadline_s - now
        call.tried.add(entry.id)
        headers = ingress.build_headers(
            self._request.headers.items(),
            left_s,
            entry.id,
            call.account.name if call.account is not None else None,
        )
        state.in_flight += 1
        try:
            answer = await door.client.send(
                entry.address,
                self._request.method,
                self._request.raw_path,
                headers,
                self._body,
                left_s,
            )
        except exceptions.NotSentError as error:
            self._bad_connects += 1
            self._note_failure(choice, error, is_down=True)
            return None
        except exceptions.LostError as error:
            self._sent += 1
            self._may_have_run = True
            self._note_failure(choice, error, is_down=False)
            if error.is_late or not call.route.is_idempotent:
                raise Refused(
                    504 if error.is_late else 502, "outcome_unknown"
                ) from error
            return None
        finally:
            state.in_flight -= 1
        return self._take(choice, answer, door.clock.now() - now)

    def _take(
        self, choice: desks.Choice, answer: upstream.Answer, took_s: float
    ) -> web.Response | None:
        call, door = self._call, self._door
        state, now = choice.state, door.clock.now()
        verdict = ingress.read_verdict(answer.status, answer.headers)
        if verdict.load is not None:
            state.note_load(*verdict.load, now)
        self._sent += 1
        if verdict.has_not_run:
            self._note_shed(choice, answer.status)
            return None
        self._may_have_run = True
        is_crossed = verdict.request_id not in ("", self._said.id)
        is_unsigned = 200 <= answer.status < 300 and not verdict.is_signed
        if is_crossed or is_unsigned:
            error = exceptions.LostError("an answer that is not ours", False)
            self._note_failure(choice, error, is_down=False)
            if not call.route.is_idempotent:
                raise Refused(502, "outcome_unknown")
            return None
        is_bad = answer.status >= 500
        self._note_answer(choice, took_s, is_bad)
        if is_bad and call.route.is_idempotent:
            self._last = (answer, state.entry.id)
            return None
        door.log.info(
            "answered",
            id=self._said.id,
            route=call.route.name,
            account=call.account.name if call.account else "",
            thing=call.thing,
            backend=state.entry.id,
            version=state.entry.version,
            position=choice.position,
            load=choice.load,
            warm=choice.is_warm,
            status=answer.status,
            expected_ms=choice.expected_s * 1000,
            took_ms=took_s * 1000,
            attempts=self._sent,
        )
        return self._answer(answer, state.entry.id)

    def _answer(self, answer: upstream.Answer, backend: str) -> web.Response:
        took_s = self._door.clock.now() - self._call.arrived_s
        self._door.metrics.count_answer(
            self._call.route.name, answer.status, took_s
        )
        return web.Response(
            status=answer.status,
            headers=ingress.copy_headers(answer.headers.items()),
            body=answer.body,
        )

    def _note_answer(
        self, choice: desks.Choice, took_s: float, is_bad: bool
    ) -> None:
        call, state = self._call, choice.state
        now = self._door.clock.now()
        if is_bad:
            state.note_failure(now, is_down=False)
        else:
            state.note_answer(call.thing, took_s, choice.usual_s, now)
            self._door.desk.learn(call, choice, took_s)
        self._note_version(choice, is_bad)

    def _note_failure(
        self,
        choice: desks.Choice,
        error: exceptions.NotSentError | exceptions.LostError,
        is_down: bool,
    ) -> None:
        now = self._door.clock.now()
        is_ejected = choice.state.note_failure(now, is_down)
        if not is_down and not choice.state.is_cold(now):
            self._note_version(choice, is_bad=True)
        self._door.metrics.count_failure(error.code)
        self._door.log.info(
            "attempt_failed",
            id=self._said.id,
            route=self._call.route.name,
            backend=choice.state.entry.id,
            code=error.code,
            reason=error.message,
            expected_ms=choice.expected_s * 1000,
            load=choice.load,
            ejected=is_ejected,
        )

    def _note_shed(self, choice: desks.Choice, status: int) -> None:
        self._door.metrics.count_failure("not_executed")
        self._door.log.info(
            "attempt_shed",
            id=self._said.id,
            backend=choice.state.entry.id,
            status=status,
            load=choice.load,
        )

    def _note_version(self, choice: desks.Choice, is_bad: bool) -> None:
        version = choice.state.entry.version
        if self._door.desk.note_outcome(self._call, version, is_bad):
            self._door.log.warn(
                "version_condemned",
                id=self._said.id,
                service=self._call.service,
                version=version,
            )


async def close_quietly(runner: web.BaseRunner) -> None:
    """Close a listener, whatever state it is in."""
    with contextlib.suppress(OSError):
        await runner.cleanup()
