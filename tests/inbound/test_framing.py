"""What a connection sends is split in the same way however it arrives."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from cowslipshift.inbound import exceptions
from cowslipshift.inbound import framing
from cowslipshift.inbound import limits as inbound_limits

LIMITS = inbound_limits.InboundLimits(header_bytes=512, body_bytes=2000)
FULL_HEAD_BYTES = LIMITS.head_bytes

HEADS = strategies.integers(2, FULL_HEAD_BYTES - 4).map(
    lambda size: b"G" * size + b"\r\n\r\n"
)
BODIES = strategies.binary(max_size=2000)
SIZES = strategies.integers(1, 2000)


@strategies.composite
def draw_request(draw) -> tuple[bytes, bytes, int | None]:
    """Draw a head, what is sent behind it, and its length unless chunked."""
    head, body = draw(HEADS), draw(BODIES)
    if draw(strategies.booleans()):
        return head, body, len(body)
    content, step = b"", draw(SIZES)
    for start in range(0, len(body), step):
        part = body[start : start + step]
        content += b"%x;a=b\r\n%b\r\n" % (len(part), part)
    return head, content + b"0\r\nX-Sum: 1\r\n\r\n", None


@given(
    strategies.lists(draw_request(), min_size=1, max_size=4),
    strategies.lists(strategies.integers(0, 20_000), max_size=12),
    strategies.sampled_from([b"", b"\r\n", b"\n\r\n"]),
)
def test_requests_within_limits_are_found_in_any_split(
    requests, cuts, blanks
) -> None:
    sent = b"".join(blanks + head + rest for head, rest, _ in requests)
    splitter = framing.RequestFraming(LIMITS)
    found: list[list[bytes]] = []
    edges = sorted({0, *(cut for cut in cuts if cut < len(sent)), len(sent)})
    for start, end in zip(edges, edges[1:], strict=False):
        data = sent[start:end]
        while data:
            is_head = not splitter.is_in_body
            part, data = splitter.take(data)
            if is_head and part:
                splitter.begin_body(requests[len(found)][2])
                found.append([part, b""])
            elif part:
                found[-1][1] += part
    assert found == [[head, rest] for head, rest, _ in requests]
    assert not splitter.is_in_body
    assert not splitter.has_partial_head


def feed_endless(
    splitter: framing.RequestFraming, part: bytes, size: int = 2000
) -> int:
    """Feed bytes until they are refused; return the status."""
    for _ in range(size):
        data = part
        try:
            while data:
                _, data = splitter.take(data)
        except exceptions.FramingError as error:
            return error.status
    return 0


@pytest.mark.parametrize(
    ("part", "status"),
    [
        (b"\r\n" * 50, 400),
        (b"\n" * 50, 400),
        (b"A" * 100, 431),
        (b"A: b\r\n" * 20, 431),
        (b"A: b\r\n folded\r\n", 431),
        (b"A:" + b" " * 100, 431),
    ],
)
def test_head_without_end_is_refused(part, status) -> None:
    assert feed_endless(framing.RequestFraming(LIMITS), part) == status


@pytest.mark.parametrize(
    ("opening", "part"),
    [
        (b"", b"0" * 100),
        (b"", b"1;" + b"a" * 100),
        (b"0\r\n", b"X: y\r\n" * 20),
        (b"1\r\na\r\n", b"1;aaaaaaaaaa\r\na\r\n" * 20),
        (b"zz\r\n", b""),
        (b"0" * 17 + b"\r\n", b""),
    ],
)
def test_framing_of_chunks_without_end_is_refused(opening, part) -> None:
    splitter = framing.RequestFraming(LIMITS)
    splitter.take(b"POST\r\n\r\n")
    splitter.begin_body(None)
    if opening:
        try:
            splitter.take(opening)
        except exceptions.FramingError as error:
            assert error.status == 400
            return
    assert feed_endless(splitter, part, 5000) == 400


def test_bytes_that_begin_no_request_go_to_the_parser() -> None:
    splitter = framing.RequestFraming(LIMITS)
    assert splitter.take(b"\x16\x03\x01") == (b"\x16\x03\x01", b"")


def test_body_in_chunks_of_one_byte_is_within_the_limits() -> None:
    splitter = framing.RequestFraming(LIMITS)
    splitter.take(b"POST\r\n\r\n")
    splitter.begin_body(None)
    assert feed_endless(splitter, b"1\r\na\r\n", 2000) == 0
    assert not splitter.is_body_too_large
    splitter.take(b"1\r\na\r\n")
    assert splitter.is_body_too_large


def test_body_that_nobody_wants_may_not_be_mostly_framing() -> None:
    splitter = framing.RequestFraming(LIMITS)
    splitter.take(b"POST\r\n\r\n")
    splitter.begin_body(None)
    assert not splitter.is_too_large_unwanted
    feed_endless(splitter, b"1\r\na\r\n", 2000)
    assert splitter.is_too_large_unwanted
