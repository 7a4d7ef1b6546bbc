"""Sends one attempt of a request to one backend server."""

from __future__ import annotations

import asyncio
import functools
from typing import Any

import aiohttp
from aiohttp import client_proto
import msgspec
import multidict
import yarl

from cowslipshift.edge import exceptions

CONNECT_TIMEOUT_S = 0.4
"""Several round trips between regions; a lost opening packet is sent again
only after seconds, so another server is the better try."""

IDLE_TIMEOUT_S = 4.0
"""Backend servers close idle connections after more than this."""

SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class Answer(msgspec.Struct):
    """The whole answer of a backend server."""

    status: int
    headers: multidict.CIMultiDictProxy[str]
    body: bytes


class _Connection(client_proto.ResponseHandler):
    """A connection that does not take a reset for the end of an answer.

    An answer without length ends with its connection; aiohttp takes any
    end of the connection for that.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer that is on its way if there was a reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("reset before its end")
            )
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Opens connections of that kind."""

    def __init__(self) -> None:
        super().__init__(limit=0, keepalive_timeout=IDLE_TIMEOUT_S)
        self._factory: Any = functools.partial(_Connection, loop=self._loop)


def _open_session() -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=_Connector(),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=SKIPPED_HEADERS,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S
        ),
    )
    # aiohttp sends again by method when a kept connection is gone; what may
    # be repeated is the route's matter.
    session._retry_connection = False
    return session


class UpstreamClient:
    """Connections to backend servers."""

    def __init__(self) -> None:
        self._session = _open_session()

    async def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes | None,
        timeout_s: float,
    ) -> Answer:
        """Send a request and read the whole answer.

        Args:
            address: ``ip:port`` of the backend server.
            method: HTTP method.
            target: Path and query, sent as they are.
            headers: All headers of the request.
            body: Its body, or ``None`` if it has none.
            timeout_s: Longest wait.

        Raises:
            NotSentError: Not a byte has left.
            LostError: The request may have run.
        """
        url = yarl.URL(f"http://{address}{target}", encoded=True)
        try:
            async with asyncio.timeout(timeout_s):
                async with self._session.request(
                    method,
                    url,
                    headers=headers,
                    data=body,
                    allow_redirects=False,
                ) as response:
                    content = await response.read()
                    return Answer(response.status, response.headers, content)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            raise exceptions.NotSentError(repr(error)) from error
        except TimeoutError as error:
            raise exceptions.AnswerLostError(
                "no answer in time", True
            ) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise exceptions.AnswerLostError(repr(error), False) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
