"""Finds heads and bodies in what a connection sends, within limits.

Bytes are kept here until a head is whole, so that a parser never holds the
part of one.
"""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING

from cowslipshift.inbound import exceptions

if TYPE_CHECKING:
    from cowslipshift.inbound import limits as inbound_limits

MAX_UNWANTED_FRAMING_FRACTION = 0.25
"""Bytes around the chunks of a body that nobody wants, as a fraction of the
limit of the body."""

MAX_FRAMING_RATIO = 8
"""Bytes around each byte of a body in chunks; five if they have one each."""

MAX_BLANK_BYTES = 4096
"""Line ends in front of a request, which are dropped."""

MAX_LINES_AT_ONCE = 1000
"""Lines around chunks that are taken at once, as each costs time."""

_HEAD_END = re.compile(rb"\r?\n\r?\n")
_HEAD_END_BYTES = 4
_BLANKS = b"\r\n"
_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\n]*)?\r\n")
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}(?![0-9A-Fa-f])")


class _State(enum.Enum):
    HEAD = enum.auto()
    BODY = enum.auto()
    CHUNK_SIZE = enum.auto()
    CHUNK = enum.auto()
    CHUNK_END = enum.auto()
    TRAILERS = enum.auto()


class RequestFraming:
    """Splits the bytes of one connection into heads and bodies.

    Args:
        limits: Limits in force.

    Attributes:
        limits: May be replaced at any time.
    """

    __slots__ = (
        "_blank_bytes",
        "_body_bytes",
        "_framing_bytes",
        "_head",
        "_left",
        "_line",
        "_state",
        "limits",
    )

    def __init__(self, limits: inbound_limits.InboundLimits) -> None:
        self.limits = limits
        self._state = _State.HEAD
        self._head = bytearray()
        self._blank_bytes = 0
        self._left = 0
        self._line = b""
        self._body_bytes = 0
        self._framing_bytes = 0

    @property
    def has_partial_head(self) -> bool:
        """Whether a head has begun and is not whole."""
        return bool(self._head)

    @property
    def is_in_body(self) -> bool:
        """Whether a body is expected that is not whole."""
        return self._state is not _State.HEAD

    def take(self, data: bytes) -> tuple[bytes, bytes]:
        """Return a head or a part of a body, and the bytes behind it.

        Args:
            data: Bytes that arrived, and were not taken before.

        Returns:
            A whole head, or a part of one body; empty if the bytes are kept
            until more arrive. Then what is behind it, which may be the rest
            of a body whose chunks are small.

        Raises:
            FramingError: A limit is exceeded.
        """
        if self._state is _State.HEAD:
            return self._take_head(data)
        if self._state is _State.BODY:
            end = min(self._left, len(data))
            self._count_body(end)
            self._left -= end
            if not self._left:
                self._end_body()
        else:
            end = self._pass_chunks(data)
        if end == len(data):
            return data, b""
        return data[:end], data[end:]

    def begin_body(self, length: int | None) -> None:
        """Expect a body behind the head that was taken last.

        Args:
            length: Its size in bytes; ``None`` if it comes in chunks.
        """
        self._body_bytes = self._framing_bytes = 0
        if length is None:
            self._state = _State.CHUNK_SIZE
        elif length:
            self._state = _State.BODY
            self._left = length

    def _take_head(self, data: bytes) -> tuple[bytes, bytes]:
        if not self._head:
            stripped = data.lstrip(_BLANKS)
            self._blank_bytes += len(data) - len(stripped)
            if self._blank_bytes > MAX_BLANK_BYTES:
                raise exceptions.FramingError(400, "too many blank lines")
            data = stripped
            if data and not data[:1].isalpha():
                # No request begins so; the parser says why.
                return data, b""
        known = len(self._head)
        limit = self.limits.head_bytes
        # What is behind the limit is not looked at.
        self._head += data[: max(0, limit + _HEAD_END_BYTES - known)]
        found = _HEAD_END.search(
            self._head, max(0, known - _HEAD_END_BYTES + 1)
        )
        size = len(self._head) if found is None else found.end()
        if size > limit:
            raise exceptions.FramingError(431, "the head is too large")
        if found is None:
            return b"", b""
        head = bytes(self._head[:size])
        self._head.clear()
        self._blank_bytes = 0
        return head, data[size - known :]

    def _pass_chunks(self, data: bytes) -> int:
        """Return the end of the body in what arrived, or that of the bytes."""
        position, size = 0, len(data)
        for _ in range(MAX_LINES_AT_ONCE):
            position = self._pass_chunk(data, position)
            if position == size or self._state is _State.HEAD:
                break
        return position

    def _pass_chunk(self, data: bytes, start: int) -> int:
        """Return the end of the next chunk, or of a part of one."""
        if self._state is _State.CHUNK:
            step = min(self._left, len(data) - start)
            self._count_body(step)
            self._left -= step
            if not self._left:
                self._state = _State.CHUNK_END
            return start + step
        if self._state is _State.CHUNK_SIZE and not self._line:
            found = _SIZE_LINE.match(data, start)
            if found is not None:
                length = int(found.group(1), 16)
                end = found.end() + length + len(_BLANKS)
                if length and end <= len(data):
                    self._count_body(length)
                    self._count_framing(end - start - length)
                    return end
        end = data.find(b"\n", start) + 1
        self._count_framing((end or len(data)) - start)
        self._line += data[start : end or len(data)]
        if end:
            line, self._line = self._line, b""
            self._pass_line(line)
        return end or len(data)

    def _pass_line(self, line: bytes) -> None:
        if self._state is _State.CHUNK_SIZE:
            found = _SIZE.match(line)
            if found is None:
                raise exceptions.FramingError(400, "a chunk has no size")
            self._left = int(found.group(), 16)
            self._state = _State.CHUNK if self._left else _State.TRAILERS
        elif self._state is _State.CHUNK_END:
            self._state = _State.CHUNK_SIZE
        elif not line.strip(_BLANKS):
            self._end_body()

    def _end_body(self) -> None:
        self._state = _State.HEAD

    def _count_body(self, size: int) -> None:
        self._body_bytes += size

    def _count_framing(self, size: int) -> None:
        self._framing_bytes += size
        if self._framing_bytes > (
            self.limits.head_bytes + MAX_FRAMING_RATIO * self._body_bytes
        ):
            raise exceptions.FramingError(
                400, "too many bytes around the chunks of a body"
            )

    @property
    def is_body_too_large(self) -> bool:
        """Whether the body that is being read exceeds its limit."""
        return self._body_bytes > self.limits.body_bytes

    @property
    def is_too_large_unwanted(self) -> bool:
        """Whether it is too large to be read for nobody."""
        max_framing = MAX_UNWANTED_FRAMING_FRACTION * self.limits.body_bytes
        return self.is_body_too_large or self._framing_bytes > max_framing
