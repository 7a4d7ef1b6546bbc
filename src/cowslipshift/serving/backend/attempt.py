"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import yarl

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift import statuses
from cowslipshift.serving import calls
from cowslipshift.serving.backend import backends

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.serving.backend import transport

MIN_STALL_CHECK_S = 0.3
STALL_CHECK_LATENCIES = 8.0
"""An attempt is checked for a stall after this many usual latencies."""

BUFFERED_BODY_MAX_BYTES = 65_536
SHED_SLOT_HOLD_S = 0.1

REQUEST_ID_HEADER = "X-Request-Id"
DRAIN_HEADER = "X-Backend-Draining"
SHED_HEADER = "X-Backend-Shed"


class NotStartedError(Exception):
    """The attempt certainly did not run; another server may be tried."""


class AttemptRejectedError(NotStartedError):
    """The server rejected the attempt: it is draining or shedding load."""


class AnswerLostError(Exception):
    """The attempt may have run, but its answer was lost.

    Attributes:
        is_server_fault: Whether it counts as a failure of the server.
        has_reserved_retry: Whether the budget was already charged for a retry.
    """

    def __init__(
        self,
        message: str,
        is_server_fault: bool,
        has_reserved_retry: bool = False,
    ) -> None:
        super().__init__(message)
        self.is_server_fault = is_server_fault
        self.has_reserved_retry = has_reserved_retry


class BackendClient:
    """Sends requests to backend servers and reads their answers.

    Args:
        clock: Source of the present time.
        sessions: HTTP sessions.
    """

    def __init__(
        self, clock: clocks.Clock, sessions: transport.Sessions
    ) -> None:
        self._clock = clock
        self._sessions = sessions

    async def send(
        self,
        call: calls.Call,
        backend: backends.Backend,
        fresh: bool,
        stack: contextlib.AsyncExitStack,
        try_spend: Callable[[], bool],
    ) -> calls.Reply:
        """Send a request and return the answer.

        Bodies of up to `BUFFERED_BODY_MAX_BYTES` are read completely.

        Args:
            call: The request.
            backend: The server, on which the request holds a slot.
            fresh: Whether to open a new connection for it.
            stack: Closed together with the reply.
            try_spend: Takes a retry from the budget and returns ``True`` if
                there is one.

        Raises:
            NotStartedError: The server did not run it.
            AnswerLostError: It is not known whether the server ran it.
        """
        response = await self._open(call, backend, fresh, try_spend)
        stack.callback(self._close, response, backend)
        bodies.limit_time(response, call.deadline_s - self._clock.now(), stack)
        self._check_status(call, backend, response)
        reply = calls.Reply(
            response.status,
            calls.copy_headers(response),
            response=response,
            stack=stack,
            server=backend.server.name,
            budget=self._sessions.budget,
        )
        if (
            reply.length is not None
            and reply.length <= BUFFERED_BODY_MAX_BYTES
        ):
            await self._read(call, backend, reply)
        return reply

    async def _open(
        self,
        call: calls.Call,
        backend: backends.Backend,
        fresh: bool,
        try_spend: Callable[[], bool],
    ) -> aiohttp.ClientResponse:
        now = self._clock.now()
        is_pool_suspect = now < backend.pool_suspect_until_s
        pooled = call.idempotent and not fresh and not is_pool_suspect
        detector = _StallDetector(self._clock, call, backend, try_spend)
        try:
            return await self._request(call, backend, pooled, detector)
        except aiohttp.ClientConnectorError as error:
            raise NotStartedError(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            backend.hold_slot(call.deadline_s)
            if pooled:
                backend.mark_pool_suspect(now)
            raise AnswerLostError(
                repr(error), not pooled, detector.has_aborted
            ) from error
        except asyncio.CancelledError:
            backend.hold_slot(self._clock.now() + backends.CANCEL_GRACE_S)
            raise

    async def _request(
        self,
        call: calls.Call,
        backend: backends.Backend,
        pooled: bool,
        detector: _StallDetector,
    ) -> aiohttp.ClientResponse:
        remaining_s = call.deadline_s - self._clock.now()
        session = self._sessions.pooled if pooled else self._sessions.fresh
        url = yarl.URL(
            backend.server.url.rstrip("/") + call.path, encoded=True
        )
        async with asyncio.timeout(remaining_s) as timeout:
            detector.start(timeout)
            try:
                with connections.track(connections.Exchange(call.id)):
                    response = await session.request(
                        call.method,
                        url,
                        headers=_build_headers(call, remaining_s),
                        data=call.body.open(),
                        allow_redirects=False,
                    )
            finally:
                detector.cancel()
        connections.check_final(response)
        _check_answers(call, response)
        return response

    def _check_status(
        self,
        call: calls.Call,
        backend: backends.Backend,
        response: aiohttp.ClientResponse,
    ) -> None:
        """Tell rejections, which name the request, from other answers.

        Raises:
            AttemptRejectedError: The server states that it did not run it.
            AnswerLostError: The status promises what the server did not
                state.
        """
        if response.status not in statuses.PROMISES:
            return
        is_named = response.headers.get(REQUEST_ID_HEADER) == call.id
        if response.status == statuses.UNAVAILABLE and is_named:
            now = self._clock.now()
            if DRAIN_HEADER in response.headers:
                backend.record_draining(now)
                raise AttemptRejectedError("the server is draining")
            if SHED_HEADER in response.headers:
                backend.hold_slot(now + SHED_SLOT_HOLD_S)
                raise AttemptRejectedError("the server is shedding load")
        raise AnswerLostError(
            f"status {response.status} without a statement", True
        )

    async def _read(
        self, call: calls.Call, backend: backends.Backend, reply: calls.Reply
    ) -> None:
        remaining_s = call.deadline_s - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                await reply.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            backend.hold_slot(call.deadline_s)
            raise AnswerLostError(
                repr(error), is_server_fault=False
            ) from error

    def _close(
        self, response: aiohttp.ClientResponse, backend: backends.Backend
    ) -> None:
        if response.content.at_eof():
            response.release()
            return
        backend.hold_slot(self._clock.now() + backends.CANCEL_GRACE_S)
        response.close()


class _StallDetector:
    """Aborts an attempt whose connection has probably stalled.

    An attempt counts as stalled when much later requests were answered in
    the meantime, or when half of the time to its deadline has passed
    although the server usually answers far sooner. It is aborted only if
    the budget has a retry for it; otherwise waiting on is more likely to
    succeed.
    """

    __slots__ = (
        "_backend",
        "_call",
        "_clock",
        "_handle",
        "_interval_s",
        "_started_s",
        "_timeout",
        "_try_spend",
        "has_aborted",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        call: calls.Call,
        backend: backends.Backend,
        try_spend: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._call = call
        self._backend = backend
        self._try_spend = try_spend
        self._started_s = clock.now()
        self._interval_s = max(
            MIN_STALL_CHECK_S, STALL_CHECK_LATENCIES * backend.latency_s
        )
        self._timeout: asyncio.Timeout | None = None
        self._handle: asyncio.TimerHandle | None = None
        self.has_aborted = False

    def start(self, timeout: asyncio.Timeout) -> None:
        """Start to check the attempt periodically."""
        if self._call.idempotent and self._call.body.content is not None:
            self._timeout = timeout
            self._schedule_check()

    def cancel(self) -> None:
        """Stop checking."""
        if self._handle is not None:
            self._handle.cancel()

    def _schedule_check(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._check)

    def _check(self) -> None:
        assert self._timeout is not None
        if self._is_stalled() and self._try_spend():
            self.has_aborted = True
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time())
            return
        self._schedule_check()

    def _is_stalled(self) -> bool:
        now = self._clock.now()
        if self._backend.is_overtaken(self._started_s, now):
            return True
        half_s = (self._call.deadline_s - self._started_s) / 2
        is_known = self._backend.latency_s > 0.0
        return is_known and now - self._started_s >= half_s


def _check_answers(call: calls.Call, response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer that names another request.

    Raises:
        ClientPayloadError: The answer belongs to another request.
    """
    answered = response.headers.get(REQUEST_ID_HEADER, call.id)
    if answered == call.id:
        return
    response.close()
    raise aiohttp.ClientPayloadError("answer to another request")


def _build_headers(
    call: calls.Call, remaining_s: float
) -> list[tuple[str, str]]:
    headers = [
        *call.headers,
        (REQUEST_ID_HEADER, call.id),
        ("X-Client-Account", call.account),
        ("X-Request-Timeout-Ms", str(max(1, int(remaining_s * 1000)))),
    ]
    if call.key:
        headers.append(("Idempotency-Key", call.key))
    return headers
