"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import yarl

from cowslipshift.serving import calls
from cowslipshift.serving.backend import backends

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.serving.backend import transport

MIN_STALL_CHECK_S = 0.3
STALL_CHECK_LATENCIES = 8.0
"""A try may count as silent after this many usual latencies."""

BUFFERED_BODY_MAX_BYTES = 65_536
SHED_SLOT_HOLD_S = 0.1

DRAIN_HEADER = "X-Backend-Draining"
SHED_HEADER = "X-Backend-Shed"


class NotStartedError(Exception):
    """The attempt certainly did not run; another server may be tried."""


class AttemptRejectedError(NotStartedError):
    """The server drains or sheds load."""


class AnswerLostError(Exception):
    """The attempt may have run and its answer is lost.

    Attributes:
        is_server_fault: Whether the server itself is to blame.
        has_reserved_retry: Whether a retry was taken from the budget for it.
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
        """Send a request and return the answer, read if it is small.

        Args:
            call: The request.
            backend: The server, one of whose slots the request has.
            fresh: Whether to open a connection for it.
            stack: Closed with the reply.
            try_spend: Takes a retry from the budget if there is one.

        Raises:
            NotStartedError: The server did not run it.
            AnswerLostError: It is not known whether the server ran it.
        """
        response = await self._open(call, backend, fresh, try_spend)
        stack.callback(self._close, response, backend)
        self._check_unrun(backend, response)
        reply = calls.Reply(
            response.status,
            calls.copy_headers(response),
            response=response,
            stack=stack,
            server=backend.server.name,
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
        suspect = now < backend.pool_suspect_until_s
        pooled = call.idempotent and not fresh and not suspect
        watch = _SilenceWatch(self._clock, call, backend, try_spend)
        try:
            return await self._request(call, backend, pooled, watch)
        except aiohttp.ClientConnectorError as error:
            raise NotStartedError(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            backend.hold_slot(call.deadline_s)
            if pooled:
                backend.mark_pool_suspect(now)
            raise AnswerLostError(
                repr(error), not pooled, watch.has_given_up
            ) from error
        except asyncio.CancelledError:
            backend.hold_slot(self._clock.now() + backends.CANCEL_GRACE_S)
            raise

    async def _request(
        self,
        call: calls.Call,
        backend: backends.Backend,
        pooled: bool,
        watch: _SilenceWatch,
    ) -> aiohttp.ClientResponse:
        remaining_s = call.deadline_s - self._clock.now()
        session = self._sessions.pooled if pooled else self._sessions.fresh
        url = yarl.URL(
            backend.server.url.rstrip("/") + call.path, encoded=True
        )
        async with asyncio.timeout(remaining_s) as timeout:
            watch.start(timeout)
            try:
                return await session.request(
                    call.method,
                    url,
                    headers=_build_headers(call, remaining_s),
                    data=call.body.open(),
                    allow_redirects=False,
                )
            finally:
                watch.cancel()

    def _check_unrun(
        self, backend: backends.Backend, response: aiohttp.ClientResponse
    ) -> None:
        if response.status != 503:
            return
        now = self._clock.now()
        if DRAIN_HEADER in response.headers:
            backend.record_draining(now)
            raise AttemptRejectedError("the server drains")
        if SHED_HEADER in response.headers:
            backend.hold_slot(now + SHED_SLOT_HOLD_S)
            raise AttemptRejectedError("the server sheds load")

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


class _SilenceWatch:
    """Gives up a try whose connection has probably gone silent.

    That is so when later requests are answered meanwhile, or when half of
    the time is over although the server usually takes far less. A try is
    given up only if the budget has a retry for it; otherwise waiting on is
    the better chance.
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
        "has_given_up",
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
        self.has_given_up = False

    def start(self, timeout: asyncio.Timeout) -> None:
        """Begin to look at the try now and then."""
        if self._call.idempotent and self._call.body.content is not None:
            self._timeout = timeout
            self._look_later()

    def cancel(self) -> None:
        """Stop looking."""
        if self._handle is not None:
            self._handle.cancel()

    def _look_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(self._interval_s, self._look)

    def _look(self) -> None:
        assert self._timeout is not None
        if self._is_silent() and self._try_spend():
            self.has_given_up = True
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time())
            return
        self._look_later()

    def _is_silent(self) -> bool:
        now = self._clock.now()
        if self._backend.is_overtaken(self._started_s, now):
            return True
        half_s = (self._call.deadline_s - self._started_s) / 2
        is_known = self._backend.latency_s > 0.0
        return is_known and now - self._started_s >= half_s


def _build_headers(
    call: calls.Call, remaining_s: float
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
