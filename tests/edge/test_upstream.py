"""Answers that do not end, and connections that are not accepted."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift.edge import exceptions
from cowslipshift.edge import upstream

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
DEADLINE_S = 20.0

ENDLESS = {
    "header line": (HEAD + b"X-A: ", b"z" * 65536),
    "header lines": (HEAD, b"X-A: yyyyyyyyyyyyyyyyyyyy\r\n" * 1000),
    "no answer": (b"", b"z" * 65536),
    "blank lines": (b"", b"\r\n" * 30000),
    "continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "early hints": (b"", b"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" * 1000),
    "body": (HEAD + b"\r\n", b"z" * 65536),
    "chunks": (CHUNKED, b"10000\r\n" + b"z" * 65536 + b"\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"z" * 65536),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: yyyyyyyyyyyyyyyyyy\r\n" * 1000),
}


class EndlessServer:
    """Answers with a start, then a part again and again until closed."""

    def __init__(self, start: bytes, part: bytes) -> None:
        self.sent_bytes = 0
        self.closed = asyncio.Event()
        self._start = start
        self._part = part

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._start)
        with contextlib.suppress(ConnectionError):
            while not writer.transport.is_closing():
                writer.write(self._part)
                self.sent_bytes += len(self._part)
                await writer.drain()
        self.closed.set()
        writer.transport.abort()


# Guards against a host that runs out of memory, or spends the time until the
# deadline, on bytes without end from one backend server.
@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_answer_is_given_up_early(kind: str) -> None:
    endless = EndlessServer(*ENDLESS[kind])
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = upstream.UpstreamClient()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    with pytest.raises(exceptions.AnswerLostError) as raised:
        await client.send(
            f"127.0.0.1:{port}",
            "GET",
            "/",
            [("Host", "x")],
            None,
            DEADLINE_S,
            lambda headers: True,
            connections.Exchange("r"),
        )
    assert not raised.value.is_timeout
    assert loop.time() - started_s < DEADLINE_S / 2
    async with asyncio.timeout(DEADLINE_S):
        await endless.closed.wait()
    # What has left the server may still lie in the buffers between.
    assert endless.sent_bytes < 3 * upstream.MAX_RECEIVED_BYTES
    assert client._budget.used_bytes == 0
    await client.close()
    server.close()


async def test_answers_together_are_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(bodies, "MAX_BUFFERED_BYTES", 1024)
    body = b"z" * 700
    answer = HEAD + b"Content-Length: 700\r\n\r\n" + body[:600]
    goes_on = asyncio.Event()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await goes_on.wait()
        writer.write(body[600:])
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = upstream.UpstreamClient()

    async def send() -> upstream.Answer:
        return await client.send(
            f"127.0.0.1:{port}",
            "GET",
            "/",
            [("Host", "x")],
            None,
            DEADLINE_S,
            lambda headers: True,
            connections.Exchange("r"),
        )

    first = asyncio.create_task(send())
    while client._budget.used_bytes < 600:
        await asyncio.sleep(0.01)
    with pytest.raises(exceptions.AnswerLostError):
        await send()
    goes_on.set()
    assert (await first).body == body
    assert client._budget.used_bytes == 0
    await client.close()
    server.close()


@contextlib.asynccontextmanager
async def open_full_socket():
    """Listen at an address at which no connection is accepted any more."""
    loop = asyncio.get_running_loop()
    with contextlib.ExitStack() as opened:
        listener = opened.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        while True:
            filler = opened.enter_context(socket.socket())
            filler.setblocking(False)
            try:
                async with asyncio.timeout(upstream.CONNECT_TIMEOUT_S):
                    await loop.sock_connect(filler, address)
            except TimeoutError:
                break
        yield f"{address[0]}:{address[1]}"


# Guards against 504 for a request of which nobody got a byte, which keeps a
# caller from repeating its order.
@pytest.mark.parametrize("timeout_s", [0.1, DEADLINE_S])
async def test_request_without_a_connection_was_not_sent(
    timeout_s: float,
) -> None:
    client = upstream.UpstreamClient()
    async with open_full_socket() as address:
        with pytest.raises(exceptions.NotSentError) as raised:
            await client.send(
                address,
                "POST",
                "/",
                [("Host", "x")],
                b"order",
                timeout_s,
                lambda headers: True,
                connections.Exchange("r"),
            )
    assert raised.value.is_late == (timeout_s < upstream.CONNECT_TIMEOUT_S)
    await client.close()


# Guards against EVAC and against orders that run later than their refusal: a
# request that was given up stays on its way while the path is cut.
async def test_request_that_is_given_up_resets_its_connection() -> None:
    ends: asyncio.Queue[bytes | OSError] = asyncio.Queue()

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        try:
            ends.put_nowait(await reader.read())
        except OSError as error:
            ends.put_nowait(error)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = upstream.UpstreamClient()
    with pytest.raises(exceptions.AnswerLostError):
        await client.send(
            f"127.0.0.1:{port}",
            "GET",
            "/",
            [("Host", "x")],
            None,
            0.2,
            lambda headers: True,
            connections.Exchange("r"),
        )
    async with asyncio.timeout(5.0):
        assert isinstance(await ends.get(), ConnectionResetError)
    await client.close()
    server.close()
