"""The command that finds the cause of a request's outcome."""

from __future__ import annotations

import itertools
import pathlib
import sys

from cowslipshift import exceptions
from cowslipshift.console import output
from cowslipshift.telemetry import explanation

NOT_FOUND_EXIT_STATUS = 3


class LogUnreadableError(exceptions.CowslipshiftError):
    """A log cannot be read."""

    code = "log_unreadable"


def explain(request: str, *logs: str, json: bool = False) -> None:
    """Tell from logs how a request ended, and why.

    Exits with 0 when the request was found, 3 when no line names it, and 1
    when a log cannot be read.

    Args:
        request: The caller's id of the request.
        logs: Files with the logs of the hosts; ``-`` for standard input.
        json: Print JSON.
    """
    texts = itertools.chain.from_iterable(map(_read_lines, logs or ("-",)))
    found = explanation.explain_request(str(request), texts)
    if found is None:
        print(f"no line names request {request}", file=sys.stderr)
        sys.exit(NOT_FOUND_EXIT_STATUS)
    lines = [f"request {found.id}: {found.kind}", found.cause, "", "its way:"]
    lines += ["  " + _format(step) for step in found.steps]
    if found.state_changes:
        lines += ["", "what was believed:"]
        lines += ["  " + _format(line) for line in found.state_changes]
    output.print_result(found, lines, json)


def _read_lines(name: str) -> list[str]:
    try:
        if name == "-":
            return sys.stdin.read().splitlines()
        return pathlib.Path(name).read_text(errors="replace").splitlines()
    except OSError as error:
        raise LogUnreadableError(f"cannot read {name}: {error}") from error


def _format(fields: dict[str, str]) -> str:
    shown = {
        name: value
        for name, value in fields.items()
        if name not in ("time", "level", "component", "id")
    }
    time = fields.get("time", "").partition("T")[2]
    return f"{time} " + " ".join(f"{n}={v}" for n, v in shown.items())
