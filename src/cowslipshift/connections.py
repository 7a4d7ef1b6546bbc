"""Client connections that are not trusted for longer than they are watched.

They take no bytes for an answer that nobody awaits. Between the hosts, and to
the store, none is used twice: whatever is between the two ends may have lost
track of a connection that is idle, and bytes sent on it are lost silently.
"""

from __future__ import annotations

import functools
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import client_proto

from cowslipshift import statuses

if TYPE_CHECKING:
    from collections.abc import Callable


class GuardedConnection(client_proto.ResponseHandler):
    """A connection that is closed when bytes arrive while no request waits.

    aiohttp would take a second copy of an answer, sent late on a kept
    connection, for the answer to the next request.
    """

    _has_final_head = False

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the answer to another request."""
        self._has_final_head = False
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Note whether the head of a final answer has arrived."""
        message, _ = data
        if message.code >= statuses.FIRST_FINAL:
            self._has_final_head = True
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Close the connection if the answer is already complete."""
        if data and self._is_answered:
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)

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
    """Close the connection of an answer that switches to another protocol.

    Raises:
        ClientPayloadError: The answer is not a final one.
    """
    if response.status >= statuses.FIRST_FINAL:
        return
    response.close()
    raise aiohttp.ClientPayloadError(
        f"status {response.status} is no final answer"
    )


def open_control_session() -> aiohttp.ClientSession:
    """Open a session for calls to the store and to other hosts.

    Each call opens a connection, which costs a round trip. On a connection of
    a pool that has fallen silent it would wait until its time limit.
    """
    return aiohttp.ClientSession(
        connector=GuardedConnector(force_close=True),
        cookie_jar=aiohttp.DummyCookieJar(),
    )
