"""The attempts of one request, until there is an answer to give."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from cowslipshift.edge import exceptions
from cowslipshift.edge import upstream
from cowslipshift.platform import ingress
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.edge import metrics as metric

MIN_ATTEMPT_TIME_S = 0.02
"""Less time than that is not worth an attempt."""

MAX_CONNECT_FAILURES = 4
"""Backend servers that refuse or ignore a connection, one after another."""

_log = logs.EventLog("request")


class Refused(Exception):
    """The request gets an answer of the system's own.

    Attributes:
        status: HTTP status.
        code: What callers and operators may match on.
        retry_after_s: When to come back; ``None`` when it is not said.
        inputs: What decided it, for the log.
    """

    def __init__(
        self,
        status: int,
        code: str,
        retry_after_s: float | None = None,
        **inputs: object,
    ) -> None:
        super().__init__(code)
        self.inputs = inputs
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s


class Dependencies:
    """What the attempts of all requests share.

    Args:
        clock: Source of the present time.
        desk: The decisions.
        client: Connections to backend servers.
        metrics: Metrics of the host.
    """

    __slots__ = ("client", "clock", "desk", "metrics")

    def __init__(
        self,
        clock: clocks.Clock,
        desk: balancers.Balancer,
        client: upstream.UpstreamClient,
        metrics: metric.EdgeMetrics,
    ) -> None:
        self.clock = clock
        self.desk = desk
        self.client = client
        self.metrics = metrics


class Attempts:
    """The attempts of one request."""

    __slots__ = (
        "_bad_connects",
        "_body",
        "_call",
        "_deps",
        "_last",
        "_may_have_run",
        "_request",
        "_said",
        "_sent",
    )

    def __init__(
        self,
        deps: Dependencies,
        request: web.BaseRequest,
        said: ingress.Request,
        call: calls.Call,
        body: bytes | None,
    ) -> None:
        self._deps = deps
        self._request = request
        self._said = said
        self._call = call
        self._body = body
        self._sent = 0
        self._bad_connects = 0
        self._may_have_run = False
        self._last: upstream.Answer | None = None

    async def run(self) -> web.Response:
        """Try until there is an answer to give."""
        while True:
            choice = self._choose()
            if isinstance(choice, calls.Refusal):
                return self._give_up(choice)
            answer = await self._try(choice)
            if answer is not None:
                return answer

    def _choose(self) -> calls.Choice | calls.Refusal:
        call, now = self._call, self._deps.clock.now()
        if call.deadline_s - now < MIN_ATTEMPT_TIME_S:
            return calls.Refusal("late", 0.1)
        if self._sent:
            if self._sent >= max(1, call.route.attempts):
                return calls.Refusal("attempts", 0.2)
            choice = self._deps.desk.choose_backend(call, now)
            if isinstance(choice, calls.Refusal):
                return choice
            if not self._deps.desk.try_retry(call.service):
                return calls.Refusal("retry_budget", 0.2)
            return choice
        if self._bad_connects >= MAX_CONNECT_FAILURES:
            return calls.Refusal("unreachable", 0.2)
        return self._deps.desk.choose_backend(call, now)

    def _give_up(self, refusal: calls.Refusal) -> web.Response:
        if self._last is not None:
            return self._answer(self._last)
        if self._may_have_run:
            raise self._say_unknown(refusal.reason == "late")
        raise Refused(
            503,
            refusal.reason,
            refusal.retry_after_s,
            rank=self._call.priority,
            service=self._call.service,
            tried=len(self._call.tried),
            **describe_choice(refusal.best, self._deps.clock.now()),
        )

    def _say_unknown(self, is_timeout: bool) -> Refused:
        """Build the answer to a request that may have run."""
        return Refused(
            504 if is_timeout else 502,
            "outcome_unknown",
            rank=self._call.priority,
        )

    async def _try(self, choice: calls.Choice) -> web.Response | None:
        call, deps = self._call, self._deps
        state, entry = choice.state, choice.state.entry
        now = deps.clock.now()
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
            answer = await deps.client.send(
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
        except exceptions.AnswerLostError as error:
            self._sent += 1
            self._may_have_run = True
            self._note_failure(choice, error, is_down=False)
            if error.is_timeout or not call.route.is_idempotent:
                raise self._say_unknown(error.is_timeout) from error
            return None
        finally:
            state.in_flight -= 1
        return self._take(choice, answer, deps.clock.now() - now)

    def _take(
        self, choice: calls.Choice, answer: upstream.Answer, took_s: float
    ) -> web.Response | None:
        call, deps = self._call, self._deps
        state, now = choice.state, deps.clock.now()
        verdict = ingress.read_verdict(answer.status, answer.headers)
        if verdict.load is not None:
            state.record_load(*verdict.load, now)
        self._sent += 1
        if verdict.has_not_run:
            self._note_shed(choice, answer.status)
            return None
        self._may_have_run = True
        is_crossed = verdict.request_id not in ("", self._said.id)
        is_unsigned = 200 <= answer.status < 300 and not verdict.is_signed
        if is_crossed or is_unsigned:
            error = exceptions.AnswerLostError(
                "an answer that is not ours", False
            )
            self._note_failure(choice, error, is_down=False)
            if not call.route.is_idempotent:
                raise self._say_unknown(is_timeout=False)
            return None
        is_bad = answer.status >= 500
        self._note_answer(choice, took_s, is_bad)
        if is_bad and call.route.is_idempotent:
            self._last = answer
            return None
        _log.info(
            "answered",
            id=self._said.id,
            route=call.route.name,
            account=call.account.name if call.account else "",
            thing=call.affinity_key,
            status=answer.status,
            took_ms=took_s * 1000,
            target_ms=call.route.target_s * 1000,
            attempts=self._sent,
            config=deps.desk.version,
            **describe_choice(choice, now),
        )
        return self._answer(answer)

    def _answer(self, answer: upstream.Answer) -> web.Response:
        took_s = self._deps.clock.now() - self._call.arrived_s
        self._deps.metrics.count_answer(
            self._call.route.name, self._call.priority, answer.status, took_s
        )
        return web.Response(
            status=answer.status,
            headers=ingress.copy_headers(answer.headers.items()),
            body=answer.body,
        )

    def _note_answer(
        self, choice: calls.Choice, took_s: float, is_bad: bool
    ) -> None:
        call, state = self._call, choice.state
        now = self._deps.clock.now()
        if is_bad:
            state.record_failure(now, is_down=False)
        else:
            state.record_answer(
                call.affinity_key, took_s, choice.baseline_s, now
            )
            self._deps.desk.update_latency(call, choice, took_s)
        self._note_version(choice, is_bad)

    def _note_failure(
        self,
        choice: calls.Choice,
        error: exceptions.NotSentError | exceptions.AnswerLostError,
        is_down: bool,
    ) -> None:
        now = self._deps.clock.now()
        is_ejected = choice.state.record_failure(now, is_down)
        if not is_down and not choice.state.is_cold(now):
            self._note_version(choice, is_bad=True)
        self._deps.metrics.count_failure(error.code)
        _log.notice(
            "attempt_failed",
            id=self._said.id,
            route=self._call.route.name,
            code=error.code,
            reason=error.message,
            ejected=is_ejected,
            **describe_choice(choice, now),
        )

    def _note_shed(self, choice: calls.Choice, status: int) -> None:
        self._deps.metrics.count_failure("not_executed")
        _log.notice(
            "attempt_shed",
            id=self._said.id,
            status=status,
            **describe_choice(choice, self._deps.clock.now()),
        )

    def _note_version(self, choice: calls.Choice, is_bad: bool) -> None:
        version = choice.state.entry.version
        if self._deps.desk.record_outcome(self._call, version, is_bad):
            _log.warn(
                "version_condemned",
                id=self._said.id,
                service=self._call.service,
                version=version,
            )


def describe_choice(
    choice: calls.Choice | None, now: float
) -> dict[str, object]:
    """Return what was believed of a backend server, and how old it is."""
    if choice is None:
        return {}
    state = choice.state
    return {
        "backend": state.entry.id,
        "version": state.entry.version,
        "data_centre": state.entry.data_centre,
        "position": choice.position,
        "known_warm": choice.is_known_warm,
        "load": choice.load,
        "load_age_ms": state.measure_report_age(now) * 1000,
        "slots": state.entry.slots,
        "slowness": state.estimate_slowness(now),
        "queue_ms": choice.queue_s * 1000,
        "expected_ms": choice.expected_s * 1000,
    }
