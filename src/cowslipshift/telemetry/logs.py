"""Log lines of key=value pairs, one for each event."""

from __future__ import annotations

import atexit
import json
import sys
import time
from typing import TextIO

import logbook

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:+,@%"
)

MAX_BUFFERED_LINES = 500
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


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Writes one line for each record, many lines at a time.

    Lines below warnings wait in a buffer until `flush` is called or the
    buffer is full; warnings and errors are written at once.

    Args:
        stream: Where lines go.
        level: Name of the lowest level that is written.
        host: The ``host`` field of each line.
    """

    def __init__(self, stream: TextIO, level: str, host: str) -> None:
        super().__init__(level=level.upper(), bubble=False)
        self._stream = stream
        self._host = host
        self._lines: list[str] = []
        self._second: tuple[int, str] = (0, "")

    def emit(self, record: logbook.LogRecord) -> None:
        """Take a record."""
        self._lines.append(
            f"time={self._format_time(time.time())} "
            f"level={record.level_name} host={self._host} "
            f"component={record.channel} {record.msg}\n"
        )
        is_urgent = record.level >= logbook.WARNING
        if is_urgent or len(self._lines) >= MAX_BUFFERED_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the lines that wait."""
        lines, self._lines = self._lines, []
        if lines:
            self._stream.write("".join(lines))
            self._stream.flush()

    def _format_time(self, wall_s: float) -> str:
        second = int(wall_s)
        if second != self._second[0]:
            text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
            self._second = (second, text)
        return f"{self._second[1]}.{int((wall_s - second) * 1e6):06}Z"


def install_handler(
    level: str, host: str, stream: TextIO = sys.stderr
) -> LineHandler:
    """Send log lines to a stream.

    Args:
        level: One of `LEVELS`; lower levels are dropped.
        host: Name of the host, the ``host`` field of each line.
        stream: Where lines go.

    Returns:
        The handler, whose ``flush`` is to be called now and then.
    """
    handler = LineHandler(stream, level, host)
    logbook.NullHandler().push_application()
    handler.push_application()
    atexit.register(handler.flush)
    return handler
