"""Sends one request to backend servers until it has an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift import connections
from cowslipshift.edge import exceptions
from cowslipshift.edge import upstream
from cowslipshift.platform import ingress
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift import clock as clocks
    from cowslipshift.duties import counts as usage_counts
    from cowslipshift.edge import metrics as metric

MIN_ATTEMPT_TIME_S = 0.02
"""No attempt is started with less time than this until the deadline."""

MAX_CONNECT_FAILURES = 4
"""Failed connections, refused or timed out, after which a request that was
not sent yet is refused."""

_log = logs.EventLog("request")


class Refused(Exception):
    """The system refuses a request or cannot say whether it ran.

    Attributes:
        status: HTTP status.
        code: Error code for callers and operators.
        retry_after_s: Seconds after which to retry; ``None`` if unknown.
        inputs: Values behind the decision, for the log.
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
    """Objects that the attempts of all requests share.

    Args:
        clock: Source of the present time.
        balancer: Chooses a backend server for each attempt.
        client: Sends requests to backend servers.
        metrics: Metrics of the host.
        usage: Counts attempts for the usage reports; ``None`` if nobody
            wants them.
    """

    __slots__ = ("client", "clock", "balancer", "metrics", "usage")

    def __init__(
        self,
        clock: clocks.Clock,
        balancer: balancers.Balancer,
        client: upstream.UpstreamClient,
        metrics: metric.EdgeMetrics,
        usage: usage_counts.UsageCounter | None = None,
    ) -> None:
        self.clock = clock
        self.balancer = balancer
        self.client = client
        self.metrics = metrics
        self.usage = usage


class _Answered(msgspec.Struct):
    """An answer with the attempt that got it."""

    choice: calls.Choice
    answer: upstream.Answer
    exchange: connections.Exchange


class Attempts:
    """The attempts of one request."""

    __slots__ = (
        "_connect_failures",
        "_body",
        "_call",
        "_deps",
        "_exchange",
        "_last_answered",
        "_may_have_run",
        "_request",
        "_request_headers",
        "_sent",
    )

    def __init__(
        self,
        deps: Dependencies,
        request: web.BaseRequest,
        request_headers: ingress.RequestHeaders,
        call: calls.Call,
        body: bytes | None,
    ) -> None:
        self._deps = deps
        self._request = request
        self._request_headers = request_headers
        self._call = call
        call.method = request.method
        call.body_bytes = len(body or b"")
        self._body = body
        self._exchange = connections.Exchange(request_headers.id)
        self._sent = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._last_answered: _Answered | None = None

    async def run(self) -> web.Response:
        """Make attempts until one gives an answer, or none is left.

        Raises:
            Refused: There is no answer that can be passed on.
        """
        while True:
            choice = self._choose()
            self._count_admission(choice)
            if isinstance(choice, calls.Refusal):
                return self._conclude_unanswered(choice)
            answer = await self._attempt(choice)
            if answer is not None:
                return answer

    def _choose(self) -> calls.Choice | calls.Refusal:
        call, now = self._call, self._deps.clock.now()
        if call.deadline_s - now < MIN_ATTEMPT_TIME_S:
            return calls.Refusal("late", 0.1)
        if self._sent:
            if self._sent >= max(1, call.route.attempts):
                return calls.Refusal("attempts", 0.2)
            choice = self._deps.balancer.choose_backend(call, now)
            if isinstance(choice, calls.Refusal):
                return choice
            if not self._deps.balancer.try_retry(call.service):
                return calls.Refusal("retry_budget", 0.2)
            return choice
        if self._connect_failures >= MAX_CONNECT_FAILURES:
            return calls.Refusal("unreachable", 0.2)
        return self._deps.balancer.choose_backend(call, now)

    def _count_admission(self, choice: calls.Choice | calls.Refusal) -> None:
        """Count what became of a request that was not sent anywhere yet."""
        call = self._call
        if call.tried:
            return
        if isinstance(choice, calls.Choice):
            outcome = "returned" if call.has_returned else "admitted"
        else:
            outcome = "promised" if choice.is_promised else "refused"
        self._deps.metrics.count_admission(call.priority, outcome)

    def _conclude_unanswered(self, refusal: calls.Refusal) -> web.Response:
        if self._last_answered is not None:
            return self._pass_on(self._last_answered)
        if self._may_have_run:
            raise self._build_unknown(refusal.reason == "late")
        raise Refused(
            503,
            refusal.reason,
            refusal.retry_after_s,
            rank=self._call.priority,
            service=self._call.service,
            tried=len(self._call.tried),
            share=self._call.share,
            promised=refusal.is_promised,
            **describe_choice(refusal.best, self._deps.clock.now()),
        )

    def _build_unknown(self, is_timeout: bool) -> Refused:
        """Build the refusal of a request that may have run."""
        return Refused(
            504 if is_timeout else 502,
            "outcome_unknown",
            rank=self._call.priority,
        )

    async def _attempt(self, choice: calls.Choice) -> web.Response | None:
        call, deps = self._call, self._deps
        entry = choice.state.entry
        now = deps.clock.now()
        left_s = call.deadline_s - now
        call.tried.add(entry.id)
        headers = ingress.build_backend_headers(
            self._request.headers.items(),
            left_s,
            entry.id,
            call.account.name if call.account is not None else None,
        )
        deps.balancer.record_sent(call, choice, now)
        counted = self._count_start()
        self._exchange = connections.Exchange(self._request_headers.id)
        try:
            answer = await deps.client.send(
                entry.address,
                self._request.method,
                self._request.raw_path,
                headers,
                self._body,
                left_s,
                self._is_own_answer,
                self._exchange,
            )
        except exceptions.NotSentError as error:
            self._cancel_start(counted)
            self._connect_failures += 1
            self._record_failure(choice, error, is_down=not error.is_late)
            if not error.is_late:
                deps.balancer.record_gone_server(
                    call, choice, deps.clock.now()
                )
            return None
        except exceptions.AnswerLostError as error:
            self._sent += 1
            self._may_have_run = True
            self._record_failure(choice, error, is_down=False)
            deps.balancer.record_lost_answer(
                call, choice, now, deps.clock.now()
            )
            if error.is_timeout or not call.route.is_idempotent:
                raise self._build_unknown(error.is_timeout) from error
            return None
        finally:
            deps.balancer.record_ended(call, choice)
        answer.took_s = deps.clock.now() - now
        return self._evaluate(choice, answer, counted)

    def _count_start(self) -> int:
        """Count an attempt; return the window that it counts for."""
        account, usage = self._call.account, self._deps.usage
        if usage is None or account is None:
            return 0
        return usage.record_start(account.name, self._deps.clock.wall())

    def _cancel_start(self, window: int) -> None:
        """Take back an attempt that has not run."""
        account, usage = self._call.account, self._deps.usage
        if usage is not None and account is not None:
            usage.cancel_start(account.name, window)

    def _is_own_answer(self, headers: Mapping[str, str]) -> bool:
        return ingress.is_answer_to(self._request_headers.id, headers)

    def _evaluate(
        self, choice: calls.Choice, answer: upstream.Answer, counted: int
    ) -> web.Response | None:
        call, deps = self._call, self._deps
        state, now = choice.state, deps.clock.now()
        answer_headers = ingress.parse_answer_headers(
            answer.status, answer.headers
        )
        if not answer_headers.is_other_server:
            if answer_headers.load is not None:
                deps.balancer.load_exchange.record_answer(
                    state, answer_headers.load, now
                )
            self._record_limit(choice, answer_headers.server_limit)
            self._record_signals(choice, answer_headers)
        self._sent += 1
        if not answer_headers.is_consistent:
            self._reject_answer(choice, "contradictory answer")
            return None
        if answer_headers.has_not_run:
            self._cancel_start(counted)
            self._record_shed(choice, answer.status, answer_headers.is_stated)
            if answer_headers.is_other_server:
                deps.balancer.record_gone_server(call, choice, now)
            return None
        self._may_have_run = True
        is_success = 200 <= answer.status < 300
        if is_success and not answer_headers.is_signed:
            self._reject_answer(choice, "unsigned answer")
            return None
        is_bad = answer.status >= 500
        self._record_answer(choice, answer.took_s, is_bad)
        answered = _Answered(choice, answer, self._exchange)
        if is_bad and call.route.is_idempotent:
            self._last_answered = answered
            return None
        return self._pass_on(answered)

    def _reject_answer(self, choice: calls.Choice, reason: str) -> None:
        """Treat an answer as lost, as it does not tell what came of a request.

        Raises:
            Refused: The request may not be sent again.
        """
        self._may_have_run = True
        error = exceptions.AnswerLostError(reason, False)
        self._record_failure(choice, error, is_down=False)
        if not choice.state.is_cold(self._deps.clock.now()):
            self._record_version_outcome(choice, is_bad=True)
        if not self._call.route.is_idempotent:
            raise self._build_unknown(is_timeout=False)

    def _pass_on(self, answered: _Answered) -> web.Response:
        choice, answer = answered.choice, answered.answer
        call, deps = self._call, self._deps
        now = deps.clock.now()
        took_s = now - call.arrived_s
        _log.info(
            "answered",
            id=self._request_headers.id,
            hostname=call.route.hostname,
            route=call.route.name,
            account=call.account.name if call.account else "",
            thing=call.affinity_key,
            status=answer.status,
            took_ms=answer.took_s * 1000,
            target_ms=call.route.target_s * 1000,
            attempts=self._sent,
            share=call.share,
            returned=call.has_returned,
            config=deps.balancer.version,
            **describe_choice(choice, now),
            **_describe_exchange(answered.exchange),
        )
        deps.metrics.count_answer(
            call.route, call.priority, answer.status, took_s
        )
        return web.Response(
            status=answer.status,
            headers=ingress.filter_answer_headers(answer.headers.items()),
            body=answer.body,
        )

    def _record_answer(
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
            work_s = self._deps.balancer.measure_work(choice, took_s, now)
            if work_s is not None and choice.work_s > 0.0:
                self._deps.metrics.observe_work(
                    call.route, work_s / choice.work_s
                )
            self._deps.balancer.update_latency(call, choice, took_s, now)
        self._record_version_outcome(choice, is_bad)

    def _record_failure(
        self,
        choice: calls.Choice,
        error: exceptions.NotSentError | exceptions.AnswerLostError,
        is_down: bool,
    ) -> None:
        now = self._deps.clock.now()
        is_ejected = choice.state.record_failure(now, is_down)
        self._deps.metrics.count_failure(error.code)
        _log.notice(
            "attempt_failed",
            id=self._request_headers.id,
            hostname=self._call.route.hostname,
            route=self._call.route.name,
            code=error.code,
            reason=error.message,
            ejected=is_ejected,
            **describe_choice(choice, now),
            **_describe_exchange(self._exchange),
        )

    def _record_shed(
        self, choice: calls.Choice, status: int, is_stated: bool
    ) -> None:
        now = self._deps.clock.now()
        if choice.state.estimate_load(now) < choice.state.entry.slots:
            choice.state.record_outcome(True, now)
        self._deps.metrics.count_failure("not_executed")
        _log.notice(
            "attempt_shed",
            id=self._request_headers.id,
            status=status,
            stated=is_stated,
            **describe_choice(choice, now),
            **_describe_exchange(self._exchange),
        )

    def _record_limit(
        self, choice: calls.Choice, server_limit: float | None
    ) -> None:
        entry = choice.state.entry
        if self._deps.balancer.server_limits.record_answer(
            entry.id, entry.started_ms, server_limit, self._deps.clock.now()
        ):
            _log.notice(
                "server_limit_changed",
                id=self._request_headers.id,
                backend=entry.id,
                limit=server_limit,
            )

    def _record_signals(
        self, choice: calls.Choice, answer_headers: ingress.AnswerHeaders
    ) -> None:
        entry, signals = choice.state.entry, self._deps.balancer.server_signals
        if answer_headers.is_leaving and signals.record_leaving(
            entry.id, entry.started_ms
        ):
            _log.notice(
                "server_leaving",
                id=self._request_headers.id,
                backend=entry.id,
            )
        if answer_headers.wait_s > 0.0:
            signals.record_wait(
                entry.id,
                entry.started_ms,
                answer_headers.wait_s,
                self._deps.clock.now(),
            )
            _log.notice(
                "server_wait",
                id=self._request_headers.id,
                backend=entry.id,
                wait_s=answer_headers.wait_s,
            )

    def _record_version_outcome(
        self, choice: calls.Choice, is_bad: bool
    ) -> None:
        call, now = self._call, self._deps.clock.now()
        if self._deps.balancer.record_outcome(call, choice, is_bad, now):
            _log.warn(
                "version_condemned",
                id=self._request_headers.id,
                service=call.service,
                version=choice.state.entry.version,
            )


def _describe_exchange(exchange: connections.Exchange) -> dict[str, object]:
    """Return the log fields of the connection of an attempt."""
    return {
        "connection": exchange.connection,
        "carried": exchange.carried,
    }


def describe_choice(
    choice: calls.Choice | None, now: float
) -> dict[str, object]:
    """Return the log fields of a choice: its server and the load data used.

    ``load_age_ms`` tells how old the server's last load report is. The fields
    of predicted work are left out where servers are not chosen by work.
    """
    if choice is None:
        return {}
    state = choice.state
    by_work = {
        "work_ms": choice.work_s * 1000,
        "high_ms": choice.high_s * 1000,
        "pace": choice.pace,
        "ahead_ms": choice.ahead_s * 1000,
    }
    return {
        "backend": state.entry.id,
        "address": state.entry.address,
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
        **(by_work if choice.work_s > 0.0 else {}),
    }
