"""Connections of callers: requests side by side, answers in order."""

from __future__ import annotations

import asyncio
import collections
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import http_writer
from aiohttp import HttpVersion11
from aiohttp import web
from aiohttp import web_protocol
import msgspec

from cowslipshift.inbound import connections
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

    from cowslipshift import clock as clocks
    from cowslipshift.inbound import register

MAX_CONCURRENT_REQUESTS = 8
"""Requests of one connection that are handled at the same time."""

MAX_HELD_BYTES = 1024 * 1024
"""Bytes of answers that wait for those in front of them on one connection.
While there are more, no further request is begun ahead of its turn."""

NEW_CONNECTION_WAIT_S = 0.5
"""How long a connection that was just accepted is left open for its first
request when the host stops."""

ERROR_CODES = {
    400: "request_malformed",
    408: "head_late",
    431: "head_too_large",
}
"""Codes of errors that are found in front of a request's handler."""

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_log = logs.EventLog("caller")


class CallerRequest:
    """A request that was read from a connection.

    Args:
        request: The request.
        arrived_s: Monotonic time at which its head was read.

    Attributes:
        task: Handles the request ahead of its turn; ``None`` until begun.
    """

    __slots__ = ("_turn", "arrived_s", "request", "task")

    def __init__(self, request: web.BaseRequest, arrived_s: float) -> None:
        self.request = request
        self.arrived_s = arrived_s
        self.task: asyncio.Task[web.Response] | None = None
        self._turn = asyncio.Event()

    async def wait_turn(self) -> None:
        """Wait until all requests in front of it have been answered."""
        await self._turn.wait()

    def begin_turn(self) -> None:
        """Record that all requests in front of it have been answered."""
        self._turn.set()

    async def ask_for_body(self) -> None:
        """Tell a caller that waits for it to send the body.

        Answers to the requests in front of it come first.
        """
        request = self.request
        expects = request.headers.get(hdrs.EXPECT, "").lower()
        if expects != "100-continue" or request.version < HttpVersion11:
            return
        await self.wait_turn()
        has_begun = request.content.is_eof() or request.content.total_bytes
        if not has_begun and request.transport is not None:
            request.transport.write(CONTINUE)

    def count_held_bytes(self) -> int:
        """Return the size of its answer if the answer waits for its turn."""
        task = self.task
        if task is None or not task.done() or task.cancelled():
            return 0
        if task.exception() is not None:
            return 0
        body = task.result().body
        return len(body) if isinstance(body, (bytes, bytearray)) else 0


class CallerConnection(connections.InboundConnection):
    """A connection on which a caller may send requests without waiting.

    aiohttp handles the requests of a connection one after the other. Those
    that wait are begun here ahead of their turn; aiohttp still takes each in
    turn, so the answers leave in order.
    """

    __slots__ = (
        "_caller_server",
        "_opened_s",
        "_queue",
    )

    def __init__(self, server: CallerServer, **options: Any) -> None:
        super().__init__(server, server.connection_register, **options)
        self._caller_server = server
        self._queue: collections.deque[CallerRequest] = collections.deque()
        # ``None`` once bytes have arrived.
        self._opened_s: float | None = server.clock.now()

    def may_close(self, now: float) -> bool:
        """Tell whether no request is being read, handled or answered.

        A connection without a request so far may be so new that its first
        one is on the way.
        """
        waiter = self._waiter
        is_waiting = waiter is not None and not waiter.done()
        if not is_waiting or self.is_reading:
            return False
        if self._opened_s is not None and (
            now - self._opened_s < NEW_CONNECTION_WAIT_S
        ):
            return False
        return not self.has_unread()

    def data_received(self, data: bytes) -> None:
        """Begin the requests that have arrived and have to wait."""
        if data:
            self._opened_s = None
        super().data_received(data)
        self._begin_waiting()

    def _parse(self, part: bytes) -> None:
        """Note which requests the parser found."""
        known = len(self._messages)
        super()._parse(part)
        now = self._caller_server.clock.now()
        for message, payload in list(self._messages)[known:]:
            if isinstance(message, web_protocol._ErrInfo):
                return
            self._queue.append(
                CallerRequest(self._make_request(message, payload), now)
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel all requests of a caller that left."""
        for queued in self._queue:
            if queued.task is not None:
                queued.task.cancel()
        self._queue.clear()
        super().connection_lost(exc)

    async def answer_next(self, request: web.BaseRequest) -> web.Response:
        """Return the answer to the request whose turn it is.

        A connection that is to be closed first answers all requests that
        were read.
        """
        queued = self._take(request)
        queued.begin_turn()
        self._begin_waiting()
        if queued.task is not None:
            response = await queued.task
        else:
            response = await self._caller_server.handle(queued)
        if self._caller_server.is_closing and not self._queue:
            response.force_close()
        return response

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer with a code; bytes of the request are not repeated."""
        code = ERROR_CODES.get(status, "internal")
        _log.notice("refused", status=status, code=code, error=_name(exc))
        response = web.Response(
            status=status,
            body=msgspec.json.encode({"error": code}),
            content_type="application/json",
            headers={"Connection": "close"},
        )
        response.force_close()
        return response

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error of the connection without bytes of a request."""
        _log.error("connection_failed", error=_name(kw.get("exc_info")))

    def _make_request(self, message: Any, payload: Any) -> web.BaseRequest:
        assert self._request_factory is not None
        assert self._task_handler is not None
        writer = http_writer.StreamWriter(self, self._loop)
        return self._request_factory(
            message, payload, self, writer, self._task_handler
        )

    def _take(self, request: web.BaseRequest) -> CallerRequest:
        if self._queue and (
            self._queue[0].request._message is request._message
        ):
            return self._queue.popleft()
        return CallerRequest(request, self._caller_server.clock.now())

    def _begin_waiting(self) -> None:
        """Begin requests that wait behind others, as far as limits allow."""
        is_first = not self._request_in_progress
        concurrent = 0 if is_first else 1
        held_bytes = sum(q.count_held_bytes() for q in self._queue)
        for queued in self._queue:
            concurrent += 1
            if is_first:
                # aiohttp takes this one at once.
                is_first = False
            elif queued.task is None:
                if (
                    concurrent > MAX_CONCURRENT_REQUESTS
                    or held_bytes > MAX_HELD_BYTES
                ):
                    return
                queued.task = self._loop.create_task(
                    self._caller_server.handle(queued)
                )


class CallerServer(connections.InboundServer):
    """Serves the connections of callers.

    Args:
        handle: Gives each request one answer.
        clock: Source of the present time.
        connection_register: Limits the connections.
        options: Options of aiohttp's connections.

    Attributes:
        is_closing: Whether connections are closed after the answers to the
            requests that were read.
    """

    def __init__(
        self,
        handle: Callable[[CallerRequest], Coroutine[Any, Any, web.Response]],
        clock: clocks.Clock,
        connection_register: register.ConnectionRegister,
        **options: Any,
    ) -> None:
        super().__init__(
            _answer_next,
            connection_register,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            **options,
        )
        self.handle = handle
        self.clock = clock
        self.is_closing = False

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def close_idle_connections(self) -> int:
        """Close connections without a request; return how many are left.

        Connections are left until what was written to them has been sent.
        """
        now = self.clock.now()
        for connection in self.connections:
            if isinstance(
                connection, CallerConnection
            ) and connection.may_close(now):
                connection.force_close()
        return len(self.connections)


async def _answer_next(request: web.BaseRequest) -> web.Response:
    connection = request.protocol
    assert isinstance(connection, CallerConnection)
    return await connection.answer_next(request)


def _name(error: object) -> str:
    return type(error).__name__
