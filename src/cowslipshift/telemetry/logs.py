"""Log lines of key=value pairs, one for each event."""

from __future__ import annotations

import atexit
import collections
import json
import os
import stat
import sys
import time
from typing import TextIO

import logbook

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:+,@%"
)

MAX_BUFFERED_LINES = 500
MAX_PENDING_BYTES = 256 * 1024
"""What may wait for a slow reader."""

DEFAULT_MAX_LINES_PER_S = 1000
MAX_LINES_PER_S_BY_LEVEL = {logbook.DEBUG: 200, logbook.INFO: 200}
"""Lines of a level in one second; failures have a higher level than what
went well, and so lines of their own."""

FLUSH_INTERVAL_S = 0.1

LEVELS = ("debug", "info", "notice", "warning", "error")


class EventLog:
    """Writes events of one component.

    Args:
        component: Name of the component, the ``component`` field.
    """

    __slots__ = ("_logger",)

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def debug(self, event: str, **fields: object) -> None:
        """Write a detail that operators rarely need."""
        self._logger.debug(format_event(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Write an event of normal operation."""
        self._logger.info(format_event(event, fields))

    def notice(self, event: str, **fields: object) -> None:
        """Write a failure of a single request."""
        self._logger.notice(format_event(event, fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write an event that an operator may have to act on."""
        self._logger.warning(format_event(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Write an event that an operator has to act on."""
        self._logger.error(format_event(event, fields))


def format_event(event: str, fields: dict[str, object]) -> str:
    """Format an event and its fields as key=value pairs.

    Values with spaces, quotes or control characters are written as JSON
    strings, so that an event never spans lines.
    """
    parts = [f"event={event}"]
    for name, value in fields.items():
        parts.append(f"{name}={_format_value(value)}")
    return " ".join(parts)


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


class LineWriter:
    """Writes lines to a file descriptor and never waits for its reader.

    What a slow reader has not taken waits in a bounded buffer; when that is
    full, lines are left out and counted, and the count is written as soon
    as there is room.

    Args:
        descriptor: Where lines go.
    """

    __slots__ = ("_descriptor", "_is_closed", "_left_out", "_pending")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self._left_out = 0
        self._is_closed = False
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, lines: list[str]) -> None:
        """Write lines as far as the reader takes them."""
        if self._is_closed:
            return
        for line in lines:
            if len(self._pending) > MAX_PENDING_BYTES:
                self._left_out += 1
            else:
                self._pending += line.encode()
        self._drain()
        if self._left_out and len(self._pending) < MAX_PENDING_BYTES // 2:
            count, self._left_out = self._left_out, 0
            self._pending += f"event=lines_unread count={count}\n".encode()
            self._drain()

    def _drain(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read: the host goes on without a log.
                self._is_closed = True
                self._pending.clear()
                return
            del self._pending[:written]


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes one line for each record, many lines at a time.

    Lines wait in a buffer until `flush` is called or the buffer is full;
    warnings and errors are written at once. In each second only so many
    lines of a level are written, the first ones; the others are counted.

    Args:
        writer: Where lines go.
        level: Name of the lowest level that is written.
        host: The ``host`` field of each line.
    """

    def __init__(self, writer: LineWriter, level: str, host: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._writer = writer
        self._host = host
        self._lines: list[str] = []
        self._second: tuple[int, str] = (0, "")
        self._written: collections.Counter[int] = collections.Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record."""
        at = self._format_time(time.time())
        self._written[record.level] += 1
        limit = MAX_LINES_PER_S_BY_LEVEL.get(
            record.level, DEFAULT_MAX_LINES_PER_S
        )
        if self._written[record.level] > limit:
            return
        self._lines.append(
            f"time={at} level={record.level_name} host={self._host} "
            f"component={record.channel} {record.msg}\n"
        )
        is_urgent = record.level >= logbook.WARNING
        if is_urgent or len(self._lines) >= MAX_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the lines that wait."""
        lines, self._lines = self._lines, []
        self._writer.write(lines)

    def _format_time(self, wall_s: float) -> str:
        second = int(wall_s)
        if second != self._second[0]:
            self._tell_left_out()
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self._second = (second, text)
        return f"{self._second[1]}.{int((wall_s - second) * 1e6):06}Z"

    def _tell_left_out(self) -> None:
        for level, count in self._written.items():
            left_out = count - MAX_LINES_PER_S_BY_LEVEL.get(
                level, DEFAULT_MAX_LINES_PER_S
            )
            if left_out > 0:
                self._lines.append(
                    f"time={self._second[1]}Z level=NOTICE host={self._host} "
                    f"component=logs event=lines_left_out "
                    f"of={logbook.get_level_name(level)} count={left_out}\n"
                )
        self._written.clear()


def install_handler(
    level: str, host: str, stream: TextIO | None = None
) -> LineHandler:
    """Send log lines to a stream.

    Args:
        level: One of `LEVELS`; lower levels are dropped.
        host: Name of the host, the ``host`` field of each line.
        stream: Where lines go; standard error if none is given.

    Returns:
        The handler, whose ``flush`` is to be called now and then.
    """
    writer = LineWriter((stream or sys.stderr).fileno())
    handler = LineHandler(writer, level, host)
    logbook.NullHandler().push_application()
    handler.push_application()
    atexit.register(handler.flush)
    return handler
