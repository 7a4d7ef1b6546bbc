"""Connections that others open: limits in front of aiohttp's parser."""

from __future__ import annotations

import select
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import hdrs
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol

from cowslipshift.inbound import exceptions
from cowslipshift.inbound import framing
from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.inbound import waiting

if TYPE_CHECKING:
    import asyncio

    from cowslipshift.inbound import register

MAX_PARSED_REQUESTS = 16
"""Requests of one connection that are parsed and not begun; what follows is
kept as bytes, and no more is read."""

SERVER_ERROR_STATUS = 500

PARSER_OPTIONS: dict[str, Any] = {
    # The size of a whole head is limited in front of the parser.
    "max_line_size": inbound_limits.MAX_REQUEST_LINE_BYTES,
    "max_field_size": 1024 * 1024,
    "max_headers": inbound_limits.MAX_HEADER_LINES,
    # Idle connections are closed by the register of connections.
    "keepalive_timeout": 3600.0,
}


class InboundConnection(web_protocol.RequestHandler):
    """A connection whose parser gets whole heads only, within limits.

    Args:
        server: aiohttp's server.
        connection_register: Knows all connections of the process.
        options: Options of aiohttp's connections.

    Attributes:
        received_bytes: Bytes that have arrived on the connection.
        unread_bytes: Bytes of answers that were not taken, when last counted.
    """

    __slots__ = (
        "_answered",
        "_deferred",
        "_framing",
        "_has_ended",
        "_is_closing",
        "_is_continuing",
        "_is_last",
        "_register",
        "_socket_transport",
        "received_bytes",
        "unread_bytes",
    )

    def __init__(
        self,
        server: web.Server,
        connection_register: register.ConnectionRegister,
        **options: Any,
    ) -> None:
        super().__init__(server, **PARSER_OPTIONS, **options)
        self._register = connection_register
        self._framing = framing.RequestFraming(connection_register.limits)
        self._deferred = b""
        self._has_ended = False
        self._is_last = False
        self._is_closing = False
        self._is_continuing = False
        self._answered = 0
        # aiohttp forgets its transport before all answers are written.
        self._socket_transport: asyncio.Transport | None = None
        self._max_msg_queue_size = MAX_PARSED_REQUESTS
        self._msg_queue_resume_size = MAX_PARSED_REQUESTS // 2
        self.received_bytes = 0
        self.unread_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection, which may close one that waits longer."""
        super().connection_made(transport)
        self._socket_transport = self.transport
        self._record_wait()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._socket_transport = None
        self._deferred = b""
        super().connection_lost(exc)
        self._register.forget(self)

    def force_close(self) -> None:
        """Close it as soon as what was written to it has been taken."""
        super().force_close()
        if self._socket_transport is not None:
            self._register.record_unread(self)

    def pause_writing(self) -> None:
        """Watch a caller that does not take its answers."""
        super().pause_writing()
        self._register.record_unread(self)

    def resume_writing(self) -> None:
        """Stop watching it."""
        super().resume_writing()
        if not self._is_closing:
            self._register.forget(self)
            self._record_wait()

    def data_received(self, data: bytes) -> None:
        """Hand whole heads and bodies to the parser, as far as it may go on.

        Without data, go on with what was deferred.
        """
        self.received_bytes += len(data)
        if self._force_close or self._close or self._has_ended:
            return
        if self._is_other_protocol:
            super().data_received(data)
            return
        if not data:
            # The parser may hold a part of a body itself.
            self._parse(b"")
        self._deferred = self._hand_over(self._deferred + data)
        self._record_wait()
        if self._buffer_paused and not self._deferred and self._can_go_on():
            self._resume_reading_for_buffer()

    def close_expired(self, status: int | None) -> None:
        """Close a connection that has waited too long.

        Args:
            status: Status of the answer that says why, if any is sent.
        """
        if status is not None:
            self._refuse(exceptions.FramingError(status, "out of time"))
        elif self.count_unread_bytes():
            self.abort()
        else:
            self.force_close()

    def abort(self) -> None:
        """Reset the connection; what was written to it is dropped."""
        if self._socket_transport is not None:
            self._socket_transport.abort()

    def has_unread(self) -> bool:
        """Tell whether bytes have arrived that were not read yet."""
        if self.transport is None:
            return False
        connection = self.transport.get_extra_info("socket")
        if connection is None or connection.fileno() < 0:
            return False
        return has_arrived(connection.fileno())

    def count_unread_bytes(self) -> int:
        """Return the bytes of answers that the other end has not taken.

        Requests that wait behind these answers count as well.
        """
        if self._socket_transport is None:
            return 0
        written: int = self._socket_transport.get_write_buffer_size()
        return written + len(self._deferred) if written else 0

    async def finish_response(
        self, request: web.BaseRequest, resp: Any, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; close behind one that declines another protocol."""
        is_declined = self._upgraded and self._payload_parser is None
        if is_declined:
            self._message_tail = b""
            if isinstance(resp, web.StreamResponse):
                resp.force_close()
        finished = await super().finish_response(request, resp, start_time)
        self._answered += 1
        self._register.forget(self)
        if resp.keep_alive:
            self._record_wait(is_answered=True)
        else:
            # It is closed when all answers have been taken.
            self._is_closing = True
            self._register.record_unread(self)
        return finished

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer what is no request, without a log line for each."""
        if status >= SERVER_ERROR_STATUS:
            return super().handle_error(request, status, exc, message)
        response = web.Response(status=status)
        response.force_close()
        return response

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request has arrived, but not all of it."""
        return (
            bool(self._deferred)
            or self._framing.has_partial_head
            or self._framing.is_in_body
        )

    @property
    def _is_other_protocol(self) -> bool:
        return self._upgraded or self._payload_parser is not None

    def _hand_over(self, data: bytes) -> bytes:
        """Hand bytes to the parser; return those that have to wait."""
        self._framing.limits = self._register.limits
        while data and self._can_go_on():
            is_head = not self._framing.is_in_body
            if is_head and (self._is_last or self._is_closing):
                return b""
            try:
                part, data = self._framing.take(data)
            except exceptions.FramingError as error:
                self._refuse(error)
                return b""
            if not part:
                return b""
            known = self._request_count
            self._parse(part)
            if is_head and not self._begin_request(known):
                if self._is_other_protocol and data:
                    super().data_received(data)
                return b""
            if self._is_body_too_large:
                self.force_close()
                return b""
            if data and self._framing.is_in_body and not is_head:
                self._go_on_later()
        if data and not self._reading_paused and not self._buffer_paused:
            self._pause_reading_for_buffer()
        return data

    def _resume_reading_if_drained(self) -> None:
        if self._is_other_protocol:
            super()._resume_reading_if_drained()
        elif not self._is_continuing:
            self.data_received(b"")

    def _go_on_later(self) -> None:
        """Go on with what is deferred in another turn of the event loop."""
        if not self._is_continuing:
            self._is_continuing = True
            self._loop.call_soon(self._go_on)

    def _go_on(self) -> None:
        self._is_continuing = False
        if self.transport is not None:
            self.data_received(b"")

    @property
    def _is_body_too_large(self) -> bool:
        """Whether a body that nobody reads any more exceeds its limit."""
        return (
            self._framing.is_too_large_unwanted
            and not self._messages
            and not self._request_in_progress
        )

    def _can_go_on(self) -> bool:
        return (
            not self._reading_paused
            and not self._is_continuing
            and len(self._messages) < self._max_msg_queue_size
        )

    def _parse(self, part: bytes) -> None:
        """Hand a whole head or a part of a body to aiohttp's parser."""
        super().data_received(part)

    def _begin_request(self, known: int) -> bool:
        """Expect the body of a request; return whether others may follow."""
        if self._request_count == known or not self._messages:
            self._refuse(exceptions.FramingError(400, "the head is malformed"))
            return False
        message, payload = self._messages[-1]
        if isinstance(message, web_protocol._ErrInfo):
            self._has_ended = True
            return False
        self._is_last = bool(message.should_close)
        if self._is_other_protocol:
            return False
        if payload is not streams.EMPTY_PAYLOAD:
            length = message.headers.get(hdrs.CONTENT_LENGTH)
            self._framing.begin_body(
                None if message.chunked or length is None else int(length)
            )
        return True

    def _refuse(self, error: exceptions.FramingError) -> None:
        """Answer with an error in turn, and read nothing more."""
        self._has_ended = True
        self._deferred = b""
        if self._framing.is_in_body:
            # Its request was begun and gets another answer, or none.
            self.force_close()
            return
        self._register.forget(self)
        self._request_count += 1
        self._messages.append(
            (
                web_protocol._ErrInfo(error.status, error, error.message),
                streams.EMPTY_PAYLOAD,
            )
        )
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _record_wait(self, is_answered: bool = False) -> None:
        """Record what the connection waits for now."""
        if self.transport is None or self._paused:
            return
        if self._has_ended or self._is_closing:
            return
        if self._framing.has_partial_head:
            wait = waiting.Wait.HEAD
        elif self._framing.is_in_body:
            wait = waiting.Wait.BODY
        elif self._messages or (self._request_in_progress and not is_answered):
            self._register.forget(self)
            return
        else:
            wait = waiting.Wait.NEXT if self._answered else waiting.Wait.FIRST
        self._register.record(self, wait)


class InboundServer(web.Server):
    """A server whose connections are limited.

    Args:
        handler: Answers a request.
        connection_register: Knows all connections of the process.
        options: Options of aiohttp's server and connections.
    """

    def __init__(
        self,
        handler: Any,
        connection_register: register.ConnectionRegister,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.connection_register = connection_register

    def __call__(self) -> InboundConnection:
        """Return the protocol of a new connection."""
        return InboundConnection(
            self, self.connection_register, loop=self._loop, **self._kwargs
        )


class InboundRunner(web.AppRunner):
    """Runs an application on connections that are limited.

    Args:
        application: The application.
        connection_register: Knows all connections of the process.
        options: Options of aiohttp's runner.
    """

    def __init__(
        self,
        application: web.Application,
        connection_register: register.ConnectionRegister,
        **options: Any,
    ) -> None:
        super().__init__(application, access_log=None, **options)
        self._register = connection_register

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return InboundServer(
            server.request_handler,
            self._register,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


def has_arrived(descriptor: int) -> bool:
    """Tell whether bytes, or a new connection, wait at a socket."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
