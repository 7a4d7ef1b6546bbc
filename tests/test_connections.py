"""Connections to servers, other hosts and the store."""

from __future__ import annotations

import asyncio
from unittest import mock

from cowslipshift import connections

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"


# Guards against MIXED: bytes behind an answer that were not parsed yet are
# taken for the answer to the next request on the connection.
async def test_connection_with_bytes_behind_its_answer_is_not_used_again() -> (
    None
):
    connection = connections.GuardedConnection(asyncio.get_running_loop())
    connection.connection_made(mock.Mock(spec=asyncio.Transport))
    connection.set_response_params()
    connection.data_received(ANSWER)
    await connection.read()
    assert not connection.should_close
    connection.set_response_params()
    filler = connections.FIRST_PART_BYTES - len(ANSWER) - len(b"X: \r\n")
    line = b"X: %b\r\n" % (b"y" * filler)
    long_answer = ANSWER.replace(b"OK\r\n", b"OK\r\n" + line)
    connection.data_received(long_answer + ANSWER)
    await connection.read()
    assert connection.should_close
