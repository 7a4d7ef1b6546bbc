"""Client connections that are not trusted for longer than they are watched.

They take no bytes for an answer that nobody awaits, and carry no request id
twice, so that the id of an answer tells its request. Between the hosts, and to
the store, none is used twice: whatever is between the two ends may have lost
track of a connection that is idle, and bytes sent on it are lost silently.
"""

from __future__ import annotations

import contextlib
import contextvars
import functools
import itertools
import socket
import struct
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import client_proto
import msgspec

from cowslipshift import statuses

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from collections.abc import Iterator


FIRST_PART_BYTES = 4096
MIN_PART_BYTES = 1024
MAX_PART_BYTES = 65_536
"""Bytes that are parsed at a time: more of a body, less of all else."""

MIN_BODY_FRACTION = 0.9
"""Parts of which less is body take a turn of the event loop each."""

MAX_FRAMING_BYTES = 65_536
"""Largest sum of heads, interim answers, blank lines, framing of chunks and
trailers of one answer. A body in small chunks may have as much again as it is
long."""

MAX_INTERIM_ANSWERS = 32

MAX_REQUESTS = 128
MAX_REQUESTS_SPREAD = 32
"""Requests after which a connection is closed, as it remembers their ids, and
by how many fewer some take, so that not all of a pool end together."""

_LINGER_NONE = struct.pack("ii", 1, 0)
"""Lets a close reset the connection and drop what was not sent."""

_numbers = itertools.count(1)


class Exchange(msgspec.Struct):
    """A request and the connection that carries it.

    Attributes:
        request_id: Id that the answer has to repeat.
        connection: Number of the connection within this process; 0 as long
            as there is none, so that no byte was sent.
        carried: Requests that the connection carried before.
    """

    request_id: str
    connection: int = 0
    carried: int = 0


_exchange: contextvars.ContextVar[Exchange | None] = contextvars.ContextVar(
    "exchange", default=None
)


@contextlib.contextmanager
def track(exchange: Exchange) -> Iterator[None]:
    """Tell the connections which request is sent within the context.

    It gets none that has carried its id before.
    """
    token = _exchange.set(exchange)
    try:
        yield
    finally:
        _exchange.reset(token)


class GuardedConnection(client_proto.ResponseHandler):
    """A connection that limits what a peer may send, and when.

    aiohttp would take a second copy of an answer, sent late on a kept
    connection, for the answer to the next request. It keeps all interim
    answers of one request, and parses whatever has arrived at once, however
    many heads and chunks that is. Here the parser gets a part at a time, and
    other connections have their turn behind parts that hold much framing.

    Attributes:
        received_bytes: Bytes that have arrived on the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._number = next(_numbers)
        self._requests = 0
        self._max_requests = MAX_REQUESTS - self._number % MAX_REQUESTS_SPREAD
        self._request_ids: set[int] = set()
        self._has_final_head = False
        self._deferred = b""
        self._part_bytes = FIRST_PART_BYTES
        self._is_continuing = False
        self._parsed_bytes = 0
        self._interim_answers = 0
        self.received_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to another request."""
        exchange = _exchange.get()
        if exchange is not None:
            exchange.connection = self._number
            exchange.carried = self._requests
            # Callers choose ids, which may be long; equal hashes of two only
            # cost a connection.
            self._request_ids.add(hash(exchange.request_id))
        self._requests += 1
        self._has_final_head = False
        self._parsed_bytes = 0
        self._interim_answers = 0
        self._part_bytes = FIRST_PART_BYTES
        super().set_response_params(**params)

    def is_connected(self) -> bool:
        """Tell whether the connection may carry the present request.

        An answer that names an earlier request of the same id could belong to
        either of them.
        """
        exchange = _exchange.get()
        if (
            exchange is not None
            and hash(exchange.request_id) in self._request_ids
        ):
            return False
        return super().is_connected()

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Note whether the head of a final answer has arrived."""
        message, _ = data
        if message.code not in statuses.INTERIM:
            self._has_final_head = True
        else:
            self._interim_answers += 1
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as far as this turn of the loop allows.

        Without data, the parser goes on with what it holds.
        """
        self.received_bytes += len(data)
        if not data or self._upgraded or self._payload_parser is not None:
            super().data_received(data)
            self._continue_later()
            return
        if not self._deferred and len(data) <= self._part_bytes:
            self._parse(data)
            return
        self._deferred += data
        if not self._is_continuing:
            self._parse_deferred()

    @property
    def should_close(self) -> bool:
        """Whether no other request may use the connection."""
        return (
            bool(self._deferred)
            or self._requests >= self._max_requests
            or super().should_close
        )

    def close(self) -> None:
        """Close the connection; reset it if its request was given up.

        What is still on its way would otherwise arrive whenever the path is
        open again.
        """
        transport = self.transport
        if transport is not None and self._is_given_up:
            connection = transport.get_extra_info("socket")
            if connection is not None and connection.fileno() >= 0:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE
                )
            self.abort()
            return
        super().close()

    @property
    def _is_given_up(self) -> bool:
        return bool(
            self._requests and not self._upgraded and not self._is_answered
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Parse what had arrived before the end."""
        self.parse_rest()
        super().connection_lost(exc)

    def parse_rest(self) -> None:
        """Parse all that has arrived, at the end of the connection."""
        while self._deferred:
            self._parse(self._take_part())

    def fail(self, reason: str) -> None:
        """Fail the answer that is being read and close the connection."""
        error = aiohttp.ClientPayloadError(reason)
        self._deferred = b""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def _parse_deferred(self) -> None:
        self._is_continuing = False
        while self._deferred and not self._reading_paused:
            if self._parse(self._take_part()):
                self._continue_later()
                break
        if len(self._deferred) > MAX_PART_BYTES:
            self._pause_reading_for_buffer()
        elif self._buffer_paused:
            self._resume_reading_for_buffer()

    def _continue_later(self) -> None:
        """Parse the rest in another turn of the loop."""
        if self._deferred and not self._is_continuing:
            self._is_continuing = True
            self._loop.call_soon(self._parse_deferred)

    def _take_part(self) -> bytes:
        part = self._deferred[: self._part_bytes]
        self._deferred = self._deferred[self._part_bytes :]
        return part

    @property
    def _is_closed_here(self) -> bool:
        return self.transport is None or self._exception is not None

    def _parse(self, part: bytes) -> bool:
        """Parse a part; return whether it held more than a body.

        The connection is closed if an answer is complete already, or if what
        surrounds the body exceeds the limits.
        """
        if self._is_closed_here:
            self._deferred = b""
            return False
        if self._is_answered:
            self._deferred = b""
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return False
        body_bytes = self._count_body_bytes()
        self._parsed_bytes += len(part)
        super().data_received(part)
        read_bytes = self._count_body_bytes()
        if not self._upgraded:
            self._check_framing(read_bytes)
        has_framing = read_bytes - body_bytes < len(part) * MIN_BODY_FRACTION
        self._part_bytes = (
            MIN_PART_BYTES
            if has_framing
            else min(2 * self._part_bytes, MAX_PART_BYTES)
        )
        return has_framing

    def _count_body_bytes(self) -> int:
        return 0 if self._payload is None else self._payload.total_bytes

    def _check_framing(self, body_bytes: int) -> None:
        framing_bytes = self._parsed_bytes - body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + body_bytes:
            self.fail(f"{framing_bytes} bytes arrived around a body")
        elif self._interim_answers > MAX_INTERIM_ANSWERS:
            self.fail(f"{self._interim_answers} interim answers arrived")

    @property
    def _is_answered(self) -> bool:
        payload = self._payload
        return self._has_final_head and (payload is None or payload.is_eof())


class GuardedConnector(aiohttp.TCPConnector):
    """Opens guarded connections.

    Args:
        connection: Builds a connection, given the event loop.
        options: Options of aiohttp's connector.
    """

    def __init__(
        self,
        connection: Callable[..., GuardedConnection] = GuardedConnection,
        **options: Any,
    ) -> None:
        super().__init__(limit=0, **options)
        self._factory: Any = functools.partial(connection, loop=self._loop)


def check_final(response: aiohttp.ClientResponse) -> None:
    """Close the connection of an answer whose status is no final one.

    It switches to another protocol, or is none that HTTP has.

    Raises:
        ClientPayloadError: The answer is not a final one.
    """
    if response.status in statuses.FINAL:
        return
    response.close()
    raise aiohttp.ClientPayloadError(
        f"status {response.status} is no final answer"
    )


def disable_resending(session: aiohttp.ClientSession) -> None:
    """Let a session send each request once.

    When a connection ends before an answer, aiohttp sends requests with
    idempotent methods again. Here routes decide what may be repeated.
    """
    session._retry_connection = False


def open_control_session() -> aiohttp.ClientSession:
    """Open a session for calls to the store and to other hosts.

    Each call opens a connection, which costs a round trip. On a connection of
    a pool that has fallen silent it would wait until its time limit.
    """
    session = aiohttp.ClientSession(
        connector=GuardedConnector(force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    disable_resending(session)
    return session
