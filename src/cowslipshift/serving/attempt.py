"""One attempt of a request at one backend server."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp
import yarl

from cowslipshift.serving import backends
from cowslipshift.serving import calls

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.serving import transport

MIN_TRY_S = 0.3
TRY_LATENCIES = 8.0
"""A try may count as silent after this many usual latencies."""

EAGER_BODY_BYTES = 65_536
SHED_PAUSE_S = 0.1

DRAIN_HEADER = "X-Backend-Draining"
SHED_HEADER = "X-Backend-Shed"


class NotStartedError(Exception):
    """The attempt certainly did not run; another server may be tried."""


class TurnedAwayError(NotStartedError):
    """The server drains or sheds load."""


class LostError(Exception):
    """The attempt may have run and its answer is lost.

    Attributes:
        blames: Whether the server itself is to blame.
    """

    def __init__(self, message: str, blames: bool) -> None:
        super().__init__(message)
        self.blames = blames


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
    ) -> calls.Reply:
        """Send a request and return the answer, read if it is small.

        Args:
            call: The request.
            backend: The server, one of whose slots the request has.
            fresh: Whether to open a connection for it.
            stack: Closed with the reply.

        Raises:
            NotStartedError: The server did not run it.
            LostError: It is not known whether the server ran it.
        """
        response = await self._open(call, backend, fresh)
        stack.callback(self._close, response, backend)
        self._check_unrun(backend, response)
        reply = calls.Reply(
            response.status,
            calls.copy_headers(response),
            response=response,
            stack=stack,
            server=backend.server.name,
        )
        if reply.length is not None and reply.length <= EAGER_BODY_BYTES:
            await self._read(call, backend, reply)
        return reply

    async def _open(
        self, call: calls.Call, backend: backends.Backend, fresh: bool
    ) -> aiohttp.ClientResponse:
        now = self._clock.now()
        suspect = now < backend.suspect_until_s
        pooled = call.idempotent and not fresh and not suspect
        try:
            return await self._request(call, backend, pooled, now)
        except aiohttp.ClientConnectorError as error:
            raise NotStartedError(str(error)) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            backend.hold(call.deadline_s)
            if pooled:
                backend.suspect_connections(now)
            raise LostError(repr(error), blames=not pooled) from error
        except asyncio.CancelledError:
            backend.hold(self._clock.now() + backends.CANCEL_GRACE_S)
            raise

    async def _request(
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
                    headers=_build_headers(call, remaining_s),
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

    def _check_unrun(
        self, backend: backends.Backend, response: aiohttp.ClientResponse
    ) -> None:
        if response.status != 503:
            return
        now = self._clock.now()
        if DRAIN_HEADER in response.headers:
            backend.note_draining(now)
            raise TurnedAwayError("the server drains")
        if SHED_HEADER in response.headers:
            backend.hold(now + SHED_PAUSE_S)
            raise TurnedAwayError("the server sheds load")

    async def _read(
        self, call: calls.Call, backend: backends.Backend, reply: calls.Reply
    ) -> None:
        remaining_s = call.deadline_s - self._clock.now()
        try:
            async with asyncio.timeout(remaining_s):
                await reply.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            backend.hold(call.deadline_s)
            raise LostError(repr(error), blames=False) from error

    def _close(
        self, response: aiohttp.ClientResponse, backend: backends.Backend
    ) -> None:
        if response.content.at_eof():
            response.release()
            return
        backend.hold(self._clock.now() + backends.CANCEL_GRACE_S)
        response.close()


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
