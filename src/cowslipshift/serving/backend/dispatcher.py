"""Running requests on the backend servers whose slots this host owns."""

from __future__ import annotations

import contextlib
from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.coordination import budgets
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import attempt as attempts
from cowslipshift.serving.backend import backends
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.serving.backend import slots as slot_allocators
    from cowslipshift.telemetry import metrics as metric
    from cowslipshift.topology import index as indexes

MAX_ATTEMPTS = 3
RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class OutcomeListener(Protocol):
    """Receives the outcomes of attempts at backend servers.

    Successful answers of a server that is ramping up are left out.
    """

    def record_outcome(
        self,
        server: model.Server,
        route: str,
        latency_s: float,
        failed: bool,
        wall_s: float,
    ) -> None:
        """Record one outcome."""


class _RetryableStatusError(Exception):
    """A server answered with an error status and a retry is allowed."""


class Dispatcher:
    """Runs requests on owned slots and retries them where that is safe.

    Args:
        clock: Source of the present time.
        slots: Allocates the slots of this host.
        client: Sends requests to backend servers.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        slots: slot_allocators.SlotAllocator,
        client: attempts.BackendClient,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._client = client
        self._metrics = metrics
        self._log = logs.EventLog("dispatcher")
        self._config_index: indexes.ConfigurationIndex | None = None
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._outcome_listeners: list[OutcomeListener] = []

    def add_outcome_listener(self, listener: OutcomeListener) -> None:
        """Notify a listener of all outcomes from now on."""
        self._outcome_listeners.append(listener)

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration."""
        self._config_index = config_index

    async def run(self, call: calls.Call) -> calls.Reply:
        """Run a request on one of the owned servers.

        Raises:
            Refusal: No server answered; ``not_run`` tells whether it is
                certain that none ran the request.
        """
        budget = self._record_request(call)
        may_have_run = False
        for number in range(MAX_ATTEMPTS):
            backend = await self._acquire(call, may_have_run)
            try:
                return await self._run_attempt(call, backend, number, budget)
            except attempts.NotStartedError as error:
                if not isinstance(error, attempts.AttemptRejectedError):
                    backend.record_failure()
                    self._eject_if_failing(backend)
                self._log_attempt(call, backend, "not_started", error)
            except _RetryableStatusError as error:
                may_have_run = True
                self._log_attempt(call, backend, "failed", error)
            except attempts.AnswerLostError as error:
                may_have_run = True
                self._log_attempt(call, backend, "lost", error)
                self._record_lost_answer(call, backend, error)
                self._check_retry_allowed(call, error, budget)
            if not call.body.is_replayable:
                break
        if may_have_run:
            raise refusals.refuse_unknown_outcome("no backend server answered")
        raise refusals.refuse_overloaded(
            "no backend server accepted the request"
        )

    def _record_request(self, call: calls.Call) -> budgets.RetryBudget:
        if self._config_index is None:
            raise refusals.refuse_overloaded(
                "this host has no configuration yet"
            )
        budget = self._budgets.setdefault(call.service, budgets.RetryBudget())
        budget.record_attempt(
            self._config_index.settings.resolve(
                "retry_ratio", self._clock.wall(), service=call.service
            )
        )
        return budget

    async def _acquire(
        self, call: calls.Call, may_have_run: bool
    ) -> backends.Backend:
        """Take a slot and check again that the request may start.

        Raises:
            Refusal: There is no slot in time.
        """
        wait_start_s = self._clock.now()
        try:
            backend = await self._slots.acquire(call)
            self._check_start(call, backend)
        except refusals.Refusal as refusal:
            if may_have_run:
                raise refusals.refuse_unknown_outcome(
                    "no second attempt was possible"
                ) from refusal
            raise
        self._log.info(
            "place",
            request=call.id,
            service=call.service,
            account=call.account,
            server=backend.server.name,
            version=backend.server.version,
            running=backend.in_flight,
            slots=backend.server.slots,
            waited_ms=(self._clock.now() - wait_start_s) * 1000,
        )
        return backend

    def _check_start(
        self, call: calls.Call, backend: backends.Backend
    ) -> None:
        assert self._config_index is not None
        if call.key_id and not self._config_index.accounts.is_active(
            call.key_id
        ):
            self._slots.release(backend)
            raise refusals.refuse_key_withdrawn()
        if self._clock.now() >= call.deadline_s:
            self._slots.release(backend)
            raise refusals.refuse_expired()

    async def _run_attempt(
        self,
        call: calls.Call,
        backend: backends.Backend,
        number: int,
        budget: budgets.RetryBudget,
    ) -> calls.Reply:
        started_s = self._clock.now()
        stack = contextlib.AsyncExitStack()
        stack.callback(self._slots.release, backend)
        try:
            reply = await self._client.send(
                call, backend, number > 0, stack, budget.try_spend
            )
            self._record_answer(call, backend, reply.status, started_s)
            if reply.status in RETRYABLE_STATUSES:
                self._retry_if_safe(call, started_s, budget)
        except _RetryableStatusError:
            await reply.close()
            raise
        except BaseException:
            await stack.aclose()
            raise
        return reply

    def _retry_if_safe(
        self,
        call: calls.Call,
        started_s: float,
        budget: budgets.RetryBudget,
    ) -> None:
        """Take a retry after an error status, if retrying is safe.

        Raises:
            _RetryableStatusError: Another server is to be tried.
        """
        if not call.idempotent or not call.body.is_replayable:
            return
        now = self._clock.now()
        if call.deadline_s - now < 2 * (now - started_s):
            return
        if budget.try_spend():
            self._metrics.count(self._metrics.retries, reason="failed")
            raise _RetryableStatusError(
                "the server answered with an error status"
            )

    def _check_retry_allowed(
        self,
        call: calls.Call,
        error: attempts.AnswerLostError,
        budget: budgets.RetryBudget,
    ) -> None:
        """Refuse unless a request whose answer was lost may be retried."""
        if self._clock.now() >= call.deadline_s:
            raise refusals.refuse_timeout()
        is_retryable = call.idempotent and call.body.is_replayable
        has_retry = error.has_reserved_retry or (
            is_retryable and budget.try_spend()
        )
        if not has_retry:
            raise refusals.refuse_unknown_outcome(
                "the connection to the backend server was lost"
            )
        self._metrics.count(self._metrics.retries, reason="lost")

    def _record_answer(
        self,
        call: calls.Call,
        backend: backends.Backend,
        status: int,
        started_s: float,
    ) -> None:
        now = self._clock.now()
        failed = status >= 500
        latency_s = now - started_s
        backend.record_answer(latency_s, failed, now)
        self._notify_listeners(call, backend, latency_s, failed)
        if failed:
            self._eject_if_failing(backend)

    def _record_lost_answer(
        self,
        call: calls.Call,
        backend: backends.Backend,
        error: attempts.AnswerLostError,
    ) -> None:
        if not error.is_server_fault:
            return
        backend.record_failure()
        self._notify_listeners(call, backend, 0.0, True)
        self._eject_if_failing(backend)

    def _notify_listeners(
        self,
        call: calls.Call,
        backend: backends.Backend,
        latency_s: float,
        failed: bool,
    ) -> None:
        """Report an outcome to the listeners.

        The latency of a server that is ramping up is not representative, so
        only its failures are reported.
        """
        if backend.ramp_start_s is not None and not failed:
            return
        wall_s = self._clock.wall()
        for listener in self._outcome_listeners:
            listener.record_outcome(
                backend.server, call.route, latency_s, failed, wall_s
            )

    def _eject_if_failing(self, backend: backends.Backend) -> None:
        """Eject a failing server unless too many are ejected already."""
        now = self._clock.now()
        if not backend.should_eject() or backend.is_unavailable(now):
            return
        ejected, total = self._slots.count_ejected(backend.server.service, now)
        if ejected + 1 > max(1, backends.EJECT_MAX_FRACTION * total):
            return
        duration_s = backend.eject(now)
        self._log.warn(
            "server_ejected", server=backend.server.name, seconds=duration_s
        )

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
