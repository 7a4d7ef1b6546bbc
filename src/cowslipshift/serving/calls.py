"""Requests and replies as hosts process them."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from cowslipshift import bodies

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    import contextlib

    import aiohttp

REPLAY_LIMIT_BYTES = 65_536
"""Bodies up to this size are buffered, so that they can be sent again."""

CHUNK_BYTES = 65_536

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class BodyTooLargeError(OSError):
    """A streamed body is larger than its limit."""


class Scope(enum.Enum):
    """How far a request may still be forwarded."""

    FLEET = "fleet"
    CENTRE = "centre"
    HOST = "host"


class Body:
    """A request body, either buffered or a stream that can be read once.

    Attributes:
        consumed: Whether the stream has been opened.
        content: The buffered body, or None for a stream.
        length: Length in bytes, or None if it is not known.
    """

    __slots__ = ("_limit", "_stream", "consumed", "content", "length")

    def __init__(
        self,
        content: bytes | None,
        stream: aiohttp.StreamReader | None = None,
        head: bytes = b"",
        length: int | None = None,
        limit: int | None = None,
    ) -> None:
        self.content = content
        self._limit = limit
        self.length = len(content) if content is not None else length
        self.consumed = False
        self._stream = (head, stream)

    @property
    def is_replayable(self) -> bool:
        """Whether the body can be sent from its start."""
        return self.content is not None or not self.consumed

    def open(self) -> bytes | AsyncIterator[bytes]:
        """Return the body in the form that the HTTP client takes."""
        if self.content is not None:
            return self.content
        self.consumed = True
        return self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        head, stream = self._stream
        sent = len(head)
        if head:
            yield head
        if stream is None:
            return
        async for chunk in stream.iter_chunked(CHUNK_BYTES):
            sent += len(chunk)
            if self._limit is not None and sent > self._limit:
                raise BodyTooLargeError
            yield chunk


class Call:
    """A request as hosts process it.

    Attributes:
        id: Request id, the same on all hosts.
        deadline_s: Monotonic time in seconds by which the caller expects the
            answer.
        path: Path and query below the service.
        key_id: Id of the caller's API key; empty on open routes.
        key: Idempotency key; empty for idempotent routes.
        scope: How far the request may still be forwarded.
        attempt: Id of the attempt, if another host forwarded the request.
        origin: Region nearest to the caller.
        version: Version that is to run the request; empty for any.
    """

    __slots__ = (
        "account",
        "attempt",
        "body",
        "deadline_s",
        "headers",
        "id",
        "idempotent",
        "key",
        "key_id",
        "method",
        "origin",
        "path",
        "route",
        "scope",
        "service",
        "version",
    )

    def __init__(
        self,
        *,
        id: str,
        service: str,
        route: str,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: Body,
        account: str,
        key_id: str,
        key: str,
        idempotent: bool,
        deadline_s: float,
        scope: Scope = Scope.FLEET,
        attempt: str = "",
        origin: str = "",
        version: str = "",
    ) -> None:
        self.id = id
        self.service = service
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.account = account
        self.key_id = key_id
        self.key = key
        self.idempotent = idempotent
        self.deadline_s = deadline_s
        self.scope = scope
        self.attempt = attempt
        self.origin = origin
        self.version = version


class Reply:
    """Response of a backend server, whose body can be streamed once.

    Attributes:
        length: Length of the body in bytes, or None if it is not known.
        server: Name of the backend server.
    """

    __slots__ = (
        "_budget",
        "_callbacks",
        "_content",
        "_response",
        "_stack",
        "headers",
        "length",
        "server",
        "status",
    )

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        *,
        content: bytes | None = None,
        response: aiohttp.ClientResponse | None = None,
        stack: contextlib.AsyncExitStack | None = None,
        server: str = "",
        budget: bodies.ByteBudget | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.server = server
        self._content = content
        self._response = response
        self._stack = stack
        self._budget = budget
        self._callbacks: list[Callable[[], None]] = []
        if content is not None:
            self.length: int | None = len(content)
        else:
            self.length = response.content_length if response else None

    async def read(self) -> bytes:
        """Return the whole body and close the reply.

        Raises:
            ClientError: The body is too large, late, or broken off.
        """
        try:
            if self._content is None:
                assert self._response is not None
                assert self._budget is not None
                self._content = await bodies.read_body(
                    self._response, bodies.MAX_ANSWER_BYTES, self._budget
                )
            return self._content
        finally:
            await self.close()

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks."""
        if self._content is not None:
            yield self._content
        elif self._response is not None:
            async for chunk in self._response.content.iter_chunked(
                CHUNK_BYTES
            ):
                yield chunk

    def add_callback(self, callback: Callable[[], None]) -> None:
        """Call a function when the reply is closed.

        It is called at once if there is no connection or slot to release.
        """
        if self._stack is None:
            callback()
        else:
            self._callbacks.append(callback)

    async def close(self) -> None:
        """Release the connection and the slot."""
        stack, self._stack = self._stack, None
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        if stack is not None:
            await stack.aclose()


def copy_headers(
    response: aiohttp.ClientResponse,
) -> list[tuple[str, str]]:
    """Return the response headers without hop-by-hop headers."""
    return [
        (str(name), value)
        for name, value in response.headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    ]
