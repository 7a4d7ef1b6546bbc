"""Which connections are closed, and when."""

from __future__ import annotations

import msgspec
import pytest

from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.inbound import register as registers
from cowslipshift.inbound import waiting

LIMITS = inbound_limits.InboundLimits(
    header_timeout_s=3.0, idle_timeout_s=15.0, unread_timeout_s=10.0
)


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def now(self) -> float:
        return self.now_s


class Connection(msgspec.Struct, eq=False):
    unread_bytes: int = 0
    waiting_bytes: int = 0
    is_arriving: bool = False
    closed: str = ""

    def close_expired(self, status: int | None) -> None:
        self.closed = str(status or "idle")

    def abort(self) -> None:
        self.closed = "aborted"

    def has_unread(self) -> bool:
        return self.is_arriving

    def count_unread_bytes(self) -> int:
        return self.waiting_bytes


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def register(clock) -> registers.ConnectionRegister:
    built = registers.ConnectionRegister(clock, max_waiting=3)
    built.limits = LIMITS
    return built


@pytest.mark.parametrize(
    ("wait", "limit_s", "closed"),
    [
        (waiting.Wait.FIRST, 15.0, "idle"),
        (waiting.Wait.NEXT, 15.0, "idle"),
        (waiting.Wait.HEAD, 3.0, "408"),
        (waiting.Wait.BODY, 1000.0, ""),
    ],
)
def test_connection_is_closed_at_its_limit(
    clock, register, wait, limit_s, closed
) -> None:
    connection = Connection()
    register.record(connection, wait)
    clock.now_s = limit_s - 0.1
    register.record(connection, wait)
    register.close_expired()
    assert connection.closed == ""
    clock.now_s = limit_s
    register.close_expired()
    assert connection.closed == closed


def test_connection_with_bytes_that_were_not_read_is_left(
    clock, register
) -> None:
    connection = Connection(is_arriving=True)
    register.record(connection, waiting.Wait.NEXT)
    clock.now_s = 100.0
    register.close_expired()
    assert connection.closed == ""


def test_those_that_sent_no_request_make_room_first(clock, register) -> None:
    kept, first, head, late = (Connection() for _ in range(4))
    for connection, wait in (
        (kept, waiting.Wait.NEXT),
        (first, waiting.Wait.FIRST),
        (head, waiting.Wait.HEAD),
        (late, waiting.Wait.FIRST),
    ):
        clock.now_s += 1.0
        register.record(connection, wait)
    assert [c.closed for c in (kept, first, head, late)] == [
        "",
        "aborted",
        "",
        "",
    ]


def test_kept_connections_make_room_for_others_last(clock, register) -> None:
    connections = [Connection() for _ in range(4)]
    for connection in connections:
        clock.now_s += 1.0
        register.record(connection, waiting.Wait.NEXT)
    assert [c.closed for c in connections] == ["aborted", "", "", ""]


def test_caller_that_takes_its_answer_slowly_is_left(clock, register) -> None:
    connection = Connection(waiting_bytes=100_000)
    register.record_unread(connection)
    for _ in range(5):
        clock.now_s += 10.0
        connection.waiting_bytes -= 1
        register.close_expired()
        assert connection.closed == ""
    clock.now_s += 10.0
    register.close_expired()
    assert connection.closed == "aborted"


def test_answers_that_nobody_takes_are_dropped_beyond_a_sum(register) -> None:
    share = inbound_limits.MAX_UNREAD_BYTES // 2
    connections = [Connection(waiting_bytes=share) for _ in range(3)]
    for connection in connections:
        register.record_unread(connection)
    assert [c.closed for c in connections] == ["aborted", "", ""]
