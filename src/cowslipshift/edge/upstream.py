"""Sends one attempt of a request to one backend server."""

from __future__ import annotations

import asyncio
import functools
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import multidict
import yarl

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift.edge import exceptions
from cowslipshift.edge import idlelimits

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

CONNECT_TIMEOUT_S = 0.4
"""Several round trips between regions. A lost SYN packet is sent again only
after seconds, so it is faster to try another server."""

MAX_IDLE_S = 60.0
"""Longest time that a connection is kept; servers mostly state less."""

MAX_RECEIVED_BYTES = bodies.MAX_ANSWER_BYTES + 1024 * 1024
"""Bytes that may arrive for one request, with heads, interim answers and the
framing of chunks."""

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Answer(msgspec.Struct):
    """The complete answer of a backend server.

    Attributes:
        took_s: Seconds from the start of the attempt.
    """

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes
    took_s: float = 0.0


class _Sending(msgspec.Struct):
    """A request that is being sent.

    Attributes:
        address: Server that it is sent to.
        has_connection: Whether it has a connection; before that, no byte of
            it can have been sent.
    """

    address: str
    has_connection: bool = False


class _Connection(connections.GuardedConnection):
    """A connection that reports resets and limits what arrives.

    An answer without a length ends when its connection closes; aiohttp takes
    any end of the connection, even a reset, for the end of the answer. It
    does not limit interim answers, blank lines or the framing of chunks.
    """

    def __init__(
        self,
        idle_limits: idlelimits.IdleLimits,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(loop)
        self._idle_limits = idle_limits
        self._received_bytes = 0
        self._received_s = 0.0
        self._reused_idle_s: float | None = None
        self._keep_alive: str | None = None
        self._address = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the address of the server."""
        super().connection_made(transport)
        ip, port = transport.get_extra_info("peername")[:2]
        self._address = f"{ip}:{port}"

    def is_connected(self) -> bool:
        """Tell whether the connection may be used."""
        if not super().is_connected():
            return False
        if not self._is_answered:
            return True
        now = self._loop.time()
        limit_s = self._idle_limits.get_limit(
            self._address, self._keep_alive, now
        )
        return now - self._received_s < limit_s

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to another request."""
        self._received_bytes = 0
        if self._received_s:
            self._reused_idle_s = self._loop.time() - self._received_s
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Note how long the server keeps idle connections."""
        message, _ = data
        self._keep_alive = message.headers.get("Keep-Alive")
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Fail the answer if too much has arrived for it."""
        self._received_s = self._loop.time()
        self._received_bytes += len(data)
        if self._received_bytes <= MAX_RECEIVED_BYTES:
            super().data_received(data)
            return
        self.fail(f"more than {MAX_RECEIVED_BYTES} bytes arrived")

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer that is being read if the connection was reset."""
        self.parse_rest()
        is_unanswered = not self._received_bytes and not self._is_answered
        # There is no transport if the connection was closed from here.
        is_closed_there = self.transport is not None
        if (
            self._reused_idle_s is not None
            and is_unanswered
            and (is_closed_there)
        ):
            self._idle_limits.record_failure(
                self._address, self._reused_idle_s, self._loop.time()
            )
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(
                    "connection reset before the end of the answer"
                )
            )
        super().connection_lost(exc)


def _open_session(
    on_connect: Callable[[str, float], None],
) -> aiohttp.ClientSession:
    loop = asyncio.get_running_loop()
    trace = aiohttp.TraceConfig()

    async def note_start(
        session: aiohttp.ClientSession, context: Any, params: object
    ) -> None:
        context.connecting_since_s = loop.time()

    async def note_end(
        session: aiohttp.ClientSession, context: Any, params: object
    ) -> None:
        sending = context.trace_request_ctx
        sending.has_connection = True
        on_connect(sending.address, loop.time() - context.connecting_since_s)

    async def note_reuse(
        session: aiohttp.ClientSession, context: Any, params: object
    ) -> None:
        context.trace_request_ctx.has_connection = True

    trace.on_connection_create_start.append(note_start)
    trace.on_connection_create_end.append(note_end)
    trace.on_connection_reuseconn.append(note_reuse)
    session = aiohttp.ClientSession(
        connector=connections.GuardedConnector(
            functools.partial(_Connection, idlelimits.IdleLimits()),
            keepalive_timeout=MAX_IDLE_S,
        ),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
        trace_configs=[trace],
    )
    connections.disable_resending(session)
    return session


class UpstreamClient:
    """Sends requests over pooled connections to backend servers.

    Args:
        on_connect: Called with the address of a server and the seconds that
            opening a connection to it took.
    """

    def __init__(
        self,
        on_connect: Callable[[str, float], None] = lambda address, took: None,
    ) -> None:
        self._session = _open_session(on_connect)
        self._budget = bodies.ByteBudget(bodies.MAX_BUFFERED_BYTES)

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        timeout_s: float,
        is_own: Callable[[Mapping[str, str]], bool],
        exchange: connections.Exchange,
    ) -> Answer:
        """Send a request and read the complete answer.

        Args:
            address: ``ip:port`` of the backend server.
            method: HTTP method.
            target: Path and query, sent unchanged.
            headers: All headers of the request.
            body: Its body, or ``None`` if it has none.
            timeout_s: Time limit for the complete answer.
            is_own: Tells by its headers whether an answer is one to this
                request; what another one says is not believed.
            exchange: Names the request, and is told its connection.

        Raises:
            NotSentError: No byte of the request was sent.
            ForeignAnswerError: An answer to another request arrived.
            AnswerLostError: The request may have run.
        """
        sending = _Sending(address)
        try:
            with connections.track(exchange):
                async with (
                    asyncio.timeout(timeout_s),
                    self._session.request(
                        method,
                        yarl.URL(f"http://{address}{target}", encoded=True),
                        headers=headers,
                        data=body,
                        allow_redirects=False,
                        trace_request_ctx=sending,
                    ) as response,
                ):
                    if not is_own(response.headers):
                        response.close()
                        raise exceptions.ForeignAnswerError()
                    connections.check_final(response)
                    content = await bodies.read_body(
                        response, bodies.MAX_ANSWER_BYTES, self._budget
                    )
                    return Answer(response.status, response.headers, content)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise exceptions.NotSentError(repr(error)) from error
        except TimeoutError as error:
            if not sending.has_connection:
                raise exceptions.NotSentError(
                    "no connection in the request's time", is_late=True
                ) from error
            raise exceptions.AnswerLostError(
                "no answer in time", True
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise exceptions.AnswerLostError(repr(error), False) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
