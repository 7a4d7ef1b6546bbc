"""Finds the cause of a request's outcome in the logs of the hosts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STATE_CHANGES_PER_SERVER = 3
"""Number of latest log lines about a backend server that are shown."""


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line."""

    fields: dict[str, str]

    @property
    def event(self) -> str:
        """Name of the event, empty if the line has none."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """UTC time by the clock of the host that wrote the line."""
        return self.fields.get("time", "")


class Explanation(msgspec.Struct):
    """The log lines of a request and the cause of its outcome.

    Attributes:
        id: The caller's id of the request.
        kind: The kind of outcome, a short code.
        cause: The cause, in one or more sentences.
        steps: Fields of the request's log lines, ordered by time.
        state_changes: Fields of earlier log lines about the backend servers
            involved, from the host that wrote the last line of the request.
    """

    id: str
    kind: str
    cause: str
    steps: list[dict[str, str]]
    state_changes: list[dict[str, str]] = msgspec.field(name="beliefs")


def parse_line(text: str) -> LogLine | None:
    """Parse a line of key=value pairs; ``None`` if it is not a log line."""
    start = text.find("time=")
    if start < 0 or "event=" not in text:
        return None
    fields = {}
    for pair in _split_pairs(text[start:].strip()):
        name, equals, value = pair.partition("=")
        if equals:
            fields[name] = value
    return LogLine(fields)


def explain_request(
    request_id: str, raw_lines: Iterable[str]
) -> Explanation | None:
    """Explain the outcome of a request from the log lines of the hosts.

    Args:
        request_id: The caller's id of the request.
        raw_lines: Log lines of all hosts, in any order.

    Returns:
        The explanation, or ``None`` if no line has the id of the request.
    """
    lines = [
        line for raw in raw_lines if (line := parse_line(raw)) is not None
    ]
    steps = [line for line in lines if line.fields.get("id") == request_id]
    steps.sort(key=lambda line: line.time)
    if not steps:
        return None
    kind, cause = _find_cause(steps)
    return Explanation(
        request_id,
        kind,
        cause,
        [step.fields for step in steps],
        [line.fields for line in _find_state_changes(steps, lines)],
    )


def _find_cause(steps: list[LogLine]) -> tuple[str, str]:
    last = steps[-1].fields
    if last["event"] == "caller_left":
        return "caller_left", (
            f"The caller disconnected after {_format(last, 'took_ms')} ms; "
            "what ran for the request was cancelled."
        )
    if last["event"] == "refused":
        return _explain_refusal(steps, last)
    if last["event"] == "answered":
        return _explain_answer(last)
    return "unfinished", (
        "The logs have no final line for the request: its host stopped, or "
        "the line is in a log that was not given."
    )


def _explain_refusal(
    steps: list[LogLine], last: dict[str, str]
) -> tuple[str, str]:
    code = last.get("code", "")
    host = last.get("host", "")
    if code == "account_rate":
        sentence = (
            f"Host {host} counted {_format(last, 'used')} requests of account "
            f"{last.get('account')} in the window that allows "
            f"{_format(last, 'limit')}."
        )
        if "unreported" in last:
            sentence += (
                f" Of these, {_format(last, 'unreported')} were assumed of "
                "hosts whose reports were under way."
            )
        silent = int(float(last.get("silent_hosts", "0")))
        if silent:
            sentence += (
                f" {silent} of {last.get('hosts')} hosts sent no heartbeats, "
                "and an equal share of the quota stayed reserved for each of "
                "them: check why their heartbeats were missing."
            )
        return code, sentence
    if code == "outcome_unknown":
        failed = [s.fields for s in steps if s.event == "attempt_failed"]
        if not failed:
            return (
                code,
                "An answer arrived that could not be passed to the caller.",
            )
        attempt = failed[-1]
        return code, (
            f"Backend server {attempt.get('backend')} received the request "
            f"and returned no usable answer ({attempt.get('reason')}); one "
            f"was expected within {_format(attempt, 'expected_ms')} ms at a "
            f"load of {_format(attempt, 'load')} on {attempt.get('slots')} "
            f"slots, reported {_format(attempt, 'load_age_ms')} ms before."
        )
    if code == "urgency":
        place = (
            "its turn was expected when it was told to return"
            if last.get("promised") == "True"
            else "no room was expected in the time that the caller had left"
        )
        return code, (
            f"Service {last.get('service')} had too little room: a share of "
            f"{last.get('share', '?')} of the requests of its rank was "
            f"admitted, and {place}. The best backend server, "
            f"{last.get('backend')}, had a load of {_format(last, 'load')} on "
            f"{last.get('slots')} slots. The request was not executed."
        )
    if code in (
        "no_room",
        "no_backend",
        "late",
        "server_limit",
        "server_wait",
    ):
        if "backend" not in last:
            return code, (
                f"No backend server of {last.get('service')} could be used: "
                "all were draining, cold, ejected, evacuated, not allowed or "
                "at the limit that they state, or asked for a pause."
            )
        return code, (
            f"The best backend server, {last['backend']}, was expected to "
            f"take {_format(last, 'expected_ms')} ms, including "
            f"{_format(last, 'queue_ms')} ms of queueing behind a load of "
            f"{_format(last, 'load')} on {last.get('slots')} slots, which "
            "was too long. The request was refused at once and not executed."
        )
    return code, (
        f"Host {host} refused the request with status {last.get('status')} "
        f"({code}) under configuration {last.get('config')}; it was not "
        "executed."
    )


def _explain_answer(last: dict[str, str]) -> tuple[str, str]:
    took = float(last.get("took_ms", "0"))
    target = float(last.get("target_ms", "inf"))
    sentence = (
        f"Backend server {last.get('backend')} answered "
        f"{last.get('status')} after {took:.0f} ms"
    )
    if not last.get("status", "").startswith("2"):
        return "backend_error", sentence + ": the server reported a failure."
    if took <= target:
        return "in_time", sentence + "."
    reasons = []
    if float(last.get("queue_ms", "0")) > 0.0:
        reasons.append(f"it queued for about {_format(last, 'queue_ms')} ms")
    if last.get("known_warm") == "False":
        reasons.append(
            "the host had not seen the server handle the object recently"
        )
    if float(last.get("slowness", "1")) > 1.5:
        reasons.append(
            f"the server was {float(last['slowness']):.1f} times slower "
            "than usual"
        )
    if float(last.get("pace", "1")) > 1.5:
        reasons.append(
            f"work took {float(last['pace']):.1f} times longer than usual on "
            "its machine"
        )
    if took > float(last.get("high_ms", "inf")):
        reasons.append(
            f"its work was longer than that of 19 in 20 such requests, which "
            f"end within {_format(last, 'high_ms')} ms there"
        )
    if not reasons:
        reasons.append(
            f"{_format(last, 'expected_ms')} ms were expected: the host had "
            "no information yet on what slowed the server"
        )
    return (
        "late",
        f"{sentence}, later than the target of {target:.0f} ms: "
        + "; ".join(reasons),
    )


def _find_state_changes(
    steps: list[LogLine], lines: list[LogLine]
) -> list[LogLine]:
    servers = {s.fields["backend"] for s in steps if "backend" in s.fields}
    end_time = steps[-1].time
    found: list[LogLine] = []
    for server in sorted(servers):
        host = steps[-1].fields.get("host")
        changes = [
            line
            for line in lines
            if line.fields.get("backend") == server
            and "id" not in line.fields
            and line.fields.get("host") == host
            and line.time <= end_time
        ]
        changes.sort(key=lambda line: line.time)
        found += changes[-MAX_STATE_CHANGES_PER_SERVER:]
    return found


def _format(fields: dict[str, str], name: str) -> str:
    try:
        return f"{float(fields[name]):.0f}"
    except (KeyError, ValueError):
        return "?"


def _split_pairs(text: str) -> list[str]:
    if '"' not in text:
        return text.split()
    pairs = []
    decoder = json.JSONDecoder()
    position = 0
    while position < len(text):
        equals = text.find("=", position)
        if equals < 0:
            break
        name = text[position:equals].strip()
        if text[equals + 1 : equals + 2] == '"':
            value, position = decoder.raw_decode(text, equals + 1)
        else:
            end = text.find(" ", equals)
            end = len(text) if end < 0 else end
            value, position = text[equals + 1 : end], end
        pairs.append(f"{name}={value}")
        position += 1
    return pairs
