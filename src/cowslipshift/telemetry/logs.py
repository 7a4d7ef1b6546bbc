"""Log lines of key=value pairs, one for each event."""

from __future__ import annotations

import json
import sys

import logbook

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-/:+,@%"
)

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


def install_handler(level: str, host: str) -> None:
    """Send log lines to standard error.

    Args:
        level: One of `LEVELS`; lower levels are dropped.
        host: Name of the host, the ``host`` field of each line.
    """
    handler = logbook.StreamHandler(
        sys.stderr,
        level=level.upper(),
        format_string=(
            "time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z "
            "level={record.level_name} "
            f"host={host} "
            "component={record.channel} {record.message}"
        ),
        bubble=False,
    )
    logbook.NullHandler().push_application()
    handler.push_application()
