"""Handles callers' requests: refuses them or sends them on."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift import bodies
from cowslipshift.edge import attempts
from cowslipshift.platform import ingress
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.edge import callers
    from cowslipshift.steering import limiters
    from cowslipshift.steering import model

ANSWER_MARGIN_S = 0.03
"""Time kept back from the deadline for writing the answer."""

NOT_READY_RETRY_AFTER_S = 0.5
LEAVING_RETRY_AFTER_S = 0.1
LEAVING_ACCEPT_S = 2.5
"""How long a host that leaves takes requests that may not end in time. Callers
learn within that time that it leaves."""

NOT_RUN_STATUS = 503
"""Status of refusals of admitted requests that no server has run."""


class RequestHandler:
    """Handles callers' requests and gives each of them one answer.

    Args:
        deps: Objects that the attempts of all requests share.
        on_urgent: Called when an account's usage has to be reported to the
            other hosts at once.
        is_current: Tells whether the configuration is known to be recent.

    Attributes:
        in_flight: Requests that are not answered yet.
    """

    def __init__(
        self,
        deps: attempts.Dependencies,
        on_urgent: Callable[[], None],
        is_current: Callable[[float], bool] = lambda now: True,
    ) -> None:
        self.in_flight = 0
        self._is_current = is_current
        self._deps = deps
        self._clock = deps.clock
        self._balancer = deps.balancer
        self._on_urgent = on_urgent
        self._log = logs.EventLog("request")
        self._running: set[asyncio.Task[web.Response]] = set()
        self._leaving_s = math.inf
        self._stop_s = math.inf
        self._is_abandoning = False

    def begin_leaving(self, now: float, stop_s: float) -> None:
        """Refuse what would not end in time from some time on.

        Args:
            now: Present time.
            stop_s: Time at which requests that still run are abandoned.
        """
        self._leaving_s = now
        self._stop_s = stop_s

    def abandon(self) -> None:
        """Answer all requests that still run: whether they do is unknown."""
        self._is_abandoning = True
        for task in self._running:
            task.cancel()

    async def handle(self, received: callers.CallerRequest) -> web.Response:
        """Answer one request."""
        self.in_flight += 1
        arrived_s = received.arrived_s
        request_headers = ingress.parse_request_headers(
            received.request.headers
        )
        try:
            return await self._serve(received, request_headers)
        except attempts.Refused as refusal:
            return self._refuse(refusal, request_headers, arrived_s)
        except Exception as error:
            self._log.error(
                "request_failed",
                id=request_headers.id,
                **logs.describe_error(error),
            )
            return self._refuse(
                attempts.Refused(500, "internal"), request_headers, arrived_s
            )
        except asyncio.CancelledError:
            took_s = self._clock.now() - arrived_s
            self._log.notice(
                "caller_left", id=request_headers.id, took_ms=took_s * 1000
            )
            raise
        finally:
            self.in_flight -= 1

    async def _serve(
        self,
        received: callers.CallerRequest,
        request_headers: ingress.RequestHeaders,
    ) -> web.Response:
        request = received.request
        configuration = self._balancer.configuration
        if configuration is None:
            raise attempts.Refused(
                503, "no_configuration", NOT_READY_RETRY_AFTER_S
            )
        deadline_s = request_headers.deadline_s
        if deadline_s is None:
            raise attempts.Refused(400, "deadline_malformed")
        path = request.raw_path.partition("?")[0]
        route = self._balancer.find_route(
            request.headers.get("Host", ""), path
        )
        if route is None:
            raise self._deny(404, "route_unknown")
        account = (
            self._balancer.find_account(request_headers.api_key)
            if request_headers.api_key
            else None
        )
        if account is None and not route.is_public and configuration.accounts:
            raise self._deny(401, "key_unknown")
        if self._is_too_late(route, received.arrived_s):
            raise attempts.Refused(503, "leaving", LEAVING_RETRY_AFTER_S)
        until_s = (
            received.arrived_s
            + min(deadline_s, route.timeout_s)
            - ANSWER_MARGIN_S
        )
        body = await self._read_body(
            received, configuration.limits.body_bytes, until_s
        )
        if not route.is_idempotent:
            # The connection may be closed after an answer in front of it.
            await received.wait_turn()
        admitted_s = self._clock.now()
        limiter = None
        if account is not None and not route.is_public:
            limiter = self._admit(account, admitted_s)
        call = self._balancer.open_call(
            request_headers.id,
            route,
            account,
            request_headers.affinity_key,
            until_s,
            received.arrived_s,
        )
        call.gives_up_s = received.arrived_s + deadline_s
        call.unix_offset_s = self._clock.wall() - self._clock.now()
        request_attempts = attempts.Attempts(
            self._deps, request, request_headers, call, body
        )
        try:
            return await self._run(request_attempts, route.is_idempotent)
        except attempts.Refused as refusal:
            if limiter is not None:
                refusal.inputs["account"] = limiter.name
                if refusal.status == NOT_RUN_STATUS:
                    limiter.withdraw(admitted_s, self._clock.now())
            raise

    async def _run(
        self, request_attempts: attempts.Attempts, is_idempotent: bool
    ) -> web.Response:
        task = asyncio.ensure_future(request_attempts.run())
        self._running.add(task)
        task.add_done_callback(self._discard)
        try:
            # A request that is not idempotent runs to its end even if the
            # caller disconnects: a backend server may be working on it.
            return await (task if is_idempotent else asyncio.shield(task))
        except asyncio.CancelledError:
            if task.cancelled() and self._is_abandoning:
                raise attempts.Refused(504, "outcome_unknown") from None
            raise

    def _discard(self, task: asyncio.Task[web.Response]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            task.exception()

    def _deny(self, status: int, code: str) -> attempts.Refused:
        """Return the refusal of a request that the configuration denies.

        A host whose configuration may be out of date can't tell. Callers try
        another host then, which they don't after a 401 or 404.
        """
        if self._is_current(self._clock.now()):
            return attempts.Refused(status, code)
        return attempts.Refused(
            503, "configuration_old", NOT_READY_RETRY_AFTER_S
        )

    def _is_too_late(self, route: model.Route, arrived_s: float) -> bool:
        """Tell whether a host that leaves may have to abandon a request."""
        return (
            arrived_s - self._leaving_s > LEAVING_ACCEPT_S
            and arrived_s + route.timeout_s > self._stop_s
        )

    def _admit(
        self, account: model.Account, now: float
    ) -> limiters.AccountLimiter | None:
        limiter = self._balancer.accounts.find_limiter(account.name)
        if limiter is None:
            return None
        liveness = self._balancer.assess_peers(now)
        wait_s = limiter.try_admit(now, liveness)
        if wait_s > 0.0:
            raise attempts.Refused(
                429,
                "account_rate",
                wait_s,
                rank=account.priority,
                account=account.name,
                **limiter.describe(now, liveness),
                hosts=liveness.hosts,
                silent_hosts=len(liveness.silent),
            )
        if limiter.is_urgent(liveness.hosts):
            self._on_urgent()
        return limiter

    async def _read_body(
        self, received: callers.CallerRequest, limit: int, until_s: float
    ) -> bytes | None:
        """Read a request's body; refuse one that is late or too large."""
        request = received.request
        if not request.can_read_body:
            return None
        parts = []
        size = 0
        try:
            async with asyncio.timeout(until_s - self._clock.now()):
                await received.ask_for_body()
                async for part in request.content.iter_any():
                    size += len(part)
                    if size > limit:
                        raise attempts.Refused(413, "body_too_large")
                    parts.append(part)
        except TimeoutError as error:
            raise attempts.Refused(408, "body_late", size=size) from error
        return b"".join(parts)

    def _refuse(
        self,
        refusal: attempts.Refused,
        request_headers: ingress.RequestHeaders,
        arrived_s: float,
    ) -> web.Response:
        took_s = self._clock.now() - arrived_s
        self._deps.metrics.count_refusal(
            refusal.code, refusal.status, str(refusal.inputs.get("rank", ""))
        )
        self._log.notice(
            "refused",
            id=request_headers.id,
            status=refusal.status,
            code=refusal.code,
            retry_after_s=refusal.retry_after_s,
            took_ms=took_s * 1000,
            config=self._balancer.version,
            **refusal.inputs,
        )
        response = web.Response(
            status=refusal.status,
            body=msgspec.json.encode({"error": refusal.code}),
            headers=ingress.build_refusal_headers(
                request_headers.id, refusal.retry_after_s
            ),
        )
        if refusal.status in bodies.UNREAD_BODY_STATUSES:
            response.force_close()
        return response
