"""Logging of events as lines of key=value pairs."""

from __future__ import annotations

import atexit
import collections
import json
import logging
import os
import stat
import sys
import time
import traceback
from typing import TextIO

import logbook

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:+,@%"
)

MAX_BUFFERED_LINES = 500
MAX_PENDING_BYTES = 256 * 1024
"""Bytes buffered for a slow reader; further lines are dropped."""

DEFAULT_MAX_LINES_PER_S = 1000
MAX_LINES_PER_S_BY_LEVEL = {logbook.DEBUG: 200, logbook.INFO: 200}
"""Lines that a level may write in one second.

Failed requests are logged at a higher level than successful ones, so that
successes cannot use up the lines of failures.
"""

FLUSH_INTERVAL_S = 0.1

ERROR_FRAMES = 3
"""Places of an unexpected error that are logged, the innermost first."""

MAX_LIBRARY_TEXT = 120

LEVELS = ("debug", "info", "notice", "warning", "error")


class EventLog:
    """Logs the events of one component.

    Args:
        component: Name of the component, the ``component`` field.
    """

    __slots__ = ("_logger",)

    def __init__(self, component: str) -> None:
        self._logger = logbook.Logger(component)

    def debug(self, event: str, **fields: object) -> None:
        """Log a detail that operators rarely need."""
        self._logger.debug(format_event(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._logger.info(format_event(event, fields))

    def notice(self, event: str, **fields: object) -> None:
        """Log a failure of a single request."""
        self._logger.notice(format_event(event, fields))

    def warn(self, event: str, **fields: object) -> None:
        """Log an event that an operator may have to act on."""
        self._logger.warning(format_event(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Log an event that an operator has to act on."""
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


def describe_error(error: BaseException) -> dict[str, object]:
    """Return log fields that tell what an unexpected error is and where.

    Its text is left out, as it may repeat bytes of a request or a key.
    """
    frames = traceback.extract_tb(error.__traceback__, limit=-ERROR_FRAMES)
    return {
        "error": type(error).__name__,
        "at": ",".join(
            f"{os.path.basename(frame.filename)}:{frame.lineno}"
            for frame in reversed(frames)
        ),
    }


class LibraryLogHandler(logging.Handler):
    """Turns records of libraries into events.

    Only the first line of a record's format is kept: its arguments and
    tracebacks may repeat bytes of a request or a key.
    """

    def __init__(self) -> None:
        super().__init__(logging.WARNING)
        self._log = EventLog("library")

    def emit(self, record: logging.LogRecord) -> None:
        """Log a record as one event."""
        error = record.exc_info[1] if record.exc_info else None
        self._log.warn(
            "library_event",
            library=record.name,
            severity=record.levelname,
            text=str(record.msg).partition("\n")[0][:MAX_LIBRARY_TEXT],
            **(describe_error(error) if error is not None else {}),
        )


def _format_value(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text)


class LineWriter:
    """Writes lines to a file descriptor without waiting for a slow reader.

    If the descriptor is a pipe, it is set to non-blocking. Lines that its
    reader has not read yet are held in a bounded buffer. While the buffer is
    full, lines are dropped and counted; the count is written once less than
    half of the buffer is in use.

    Args:
        descriptor: File descriptor that lines are written to.
    """

    __slots__ = ("_descriptor", "_is_closed", "_dropped", "_pending")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = bytearray()
        self._dropped = 0
        self._is_closed = False
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, lines: list[str]) -> None:
        """Write as much as the reader accepts and buffer the rest."""
        if self._is_closed:
            return
        for line in lines:
            if len(self._pending) > MAX_PENDING_BYTES:
                self._dropped += 1
            else:
                self._pending += line.encode()
        self._write_pending()
        if self._dropped and len(self._pending) < MAX_PENDING_BYTES // 2:
            count, self._dropped = self._dropped, 0
            self._pending += f"event=lines_unread count={count}\n".encode()
            self._write_pending()

    def _write_pending(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: the host keeps running without a log.
                self._is_closed = True
                self._pending.clear()
                return
            del self._pending[:written]


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes one line for each record, in batches and with a rate limit.

    Lines are buffered until `flush` is called or the buffer is full; a
    warning or an error flushes the buffer at once. In each second only the
    first lines of a level are written, up to its limit; the others are
    dropped and counted.

    Args:
        writer: Writes the lines.
        level: Name of the lowest level that is written.
        host: The ``host`` field of each line.
    """

    def __init__(self, writer: LineWriter, level: str, host: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._writer = writer
        self._host = host
        self._lines: list[str] = []
        self._current_second: tuple[int, str] = (0, "")
        self._counts_by_level: collections.Counter[int] = collections.Counter()

    def emit(self, record: logbook.LogRecord) -> None:
        """Buffer the line of a record unless its level is over its limit."""
        timestamp = self._format_time(time.time())
        self._counts_by_level[record.level] += 1
        limit = MAX_LINES_PER_S_BY_LEVEL.get(
            record.level, DEFAULT_MAX_LINES_PER_S
        )
        if self._counts_by_level[record.level] > limit:
            return
        self._lines.append(
            f"time={timestamp} steady_s={time.monotonic():.3f} "
            f"level={record.level_name} host={self._host} "
            f"component={record.channel} {record.msg}\n"
        )
        is_urgent = record.level >= logbook.WARNING
        if is_urgent or len(self._lines) >= MAX_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines."""
        lines, self._lines = self._lines, []
        self._writer.write(lines)

    def _format_time(self, wall_s: float) -> str:
        second = int(wall_s)
        if second != self._current_second[0]:
            self._report_dropped()
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self._current_second = (second, text)
        return f"{self._current_second[1]}.{int((wall_s - second) * 1e6):06}Z"

    def _report_dropped(self) -> None:
        for level, count in self._counts_by_level.items():
            dropped = count - MAX_LINES_PER_S_BY_LEVEL.get(
                level, DEFAULT_MAX_LINES_PER_S
            )
            if dropped > 0:
                self._lines.append(
                    f"time={self._current_second[1]}Z level=NOTICE "
                    f"host={self._host} "
                    f"component=logs event=lines_left_out "
                    f"of={logbook.get_level_name(level)} count={dropped}\n"
                )
        self._counts_by_level.clear()


def install_handler(
    level: str, host: str, stream: TextIO | None = None
) -> LineHandler:
    """Install the handler that writes all log records to a stream.

    Args:
        level: One of `LEVELS`; lower levels are dropped.
        host: Name of the host, the ``host`` field of each line.
        stream: Stream that lines are written to; standard error by default.

    Returns:
        The handler; call its ``flush`` every `FLUSH_INTERVAL_S` seconds.
    """
    writer = LineWriter((stream or sys.stderr).fileno())
    handler = LineHandler(writer, level, host)
    logbook.NullHandler().push_application()
    handler.push_application()
    logging.basicConfig(handlers=[LibraryLogHandler()], force=True)
    atexit.register(handler.flush)
    return handler
