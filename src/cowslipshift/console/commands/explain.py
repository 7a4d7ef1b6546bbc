"""The command ``cowslipshift explain``."""

from __future__ import annotations

import itertools
import pathlib
import sys

from cowslipshift import exceptions
from cowslipshift.console import output
from cowslipshift.telemetry import explanation

NOT_FOUND_EXIT_STATUS = 3


class LogUnreadableError(exceptions.CowslipshiftError):
    """A log file cannot be read."""

    code = "log_unreadable"


def explain(request: str, *logs: str, json: bool = False) -> None:
    """Explain the outcome of a request from the logs of the hosts.

    The exit status is 0 if the request was found, 3 if no log line has its
    id, and 1 if a log cannot be read.

    Args:
        request: Id of the request, as the caller sent it.
        logs: Log files of the hosts; ``-`` or none for standard input.
        json: Print JSON.
    """
    raw_lines = itertools.chain.from_iterable(map(_read_lines, logs or ("-",)))
    found = explanation.explain_request(str(request), raw_lines)
    if found is None:
        print(f"no log line has the request id {request}", file=sys.stderr)
        sys.exit(NOT_FOUND_EXIT_STATUS)
    lines = [
        f"request {found.id}: {found.kind}",
        found.cause,
        "",
        "log lines:",
    ]
    lines += ["  " + _format_line(step) for step in found.steps]
    if found.state_changes:
        lines += ["", "earlier lines about the backend servers:"]
        lines += ["  " + _format_line(line) for line in found.state_changes]
    output.print_result(found, lines, json)


def _read_lines(name: str) -> list[str]:
    try:
        if name == "-":
            return sys.stdin.read().splitlines()
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise LogUnreadableError(f"cannot read {name}: {error}") from error


def _format_line(fields: dict[str, str]) -> str:
    shown = {
        name: value
        for name, value in fields.items()
        if name not in ("time", "level", "component", "id")
    }
    time = fields.get("time", "").partition("T")[2]
    return f"{time} " + " ".join(f"{n}={v}" for n, v in shown.items())
