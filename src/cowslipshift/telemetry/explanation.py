"""Finds the cause of a request's outcome in the logs of the hosts."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_STATE_CHANGES_PER_SERVER = 3
"""Changes of what was believed of a backend server that are shown."""


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log."""

    fields: dict[str, str]

    @property
    def event(self) -> str:
        """What happened."""
        return self.fields.get("event", "")

    @property
    def time(self) -> str:
        """When, as the host's clock had it."""
        return self.fields.get("time", "")


class Explanation(msgspec.Struct):
    """A request's way and why it ended as it did.

    Attributes:
        id: The caller's id of the request.
        kind: The kind of outcome, a short code.
        cause: The cause in a sentence.
        steps: The lines of the request, in the order of time.
        state_changes: Lines on what was believed of the servers and hosts
            that were involved, before the request ended.
    """

    id: str
    kind: str
    cause: str
    steps: list[dict[str, str]]
    state_changes: list[dict[str, str]] = msgspec.field(name="beliefs")


def parse_line(text: str) -> LogLine | None:
    """Read a line of key=value pairs; ``None`` if it is none."""
    start = text.find("time=")
    if start < 0 or "event=" not in text:
        return None
    fields = {}
    for word in _split(text[start:].strip()):
        name, equals, value = word.partition("=")
        if equals:
            fields[name] = value
    return LogLine(fields)


def explain_request(
    request_id: str, texts: Iterable[str]
) -> Explanation | None:
    """Find a request in logs; ``None`` if no line names it.

    Args:
        request_id: The caller's id of the request.
        texts: Lines of the logs of all hosts, in any order.
    """
    lines = [line for text in texts if (line := parse_line(text)) is not None]
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
        [line.fields for line in _find_beliefs(steps, lines)],
    )


def _find_cause(steps: list[LogLine]) -> tuple[str, str]:
    last = steps[-1].fields
    if last["event"] == "caller_left":
        return "caller_left", (
            f"The caller left after {_number(last, 'took_ms')} ms; what ran "
            "for it was broken off."
        )
    if last["event"] == "refused":
        return _explain_refusal(steps, last)
    if last["event"] == "answered":
        return _explain_answer(last)
    return "unfinished", (
        "The last line of the request is no answer: its host stopped, or "
        "later lines are in a log that was not given."
    )


def _explain_refusal(
    steps: list[LogLine], last: dict[str, str]
) -> tuple[str, str]:
    code = last.get("code", "")
    host = last.get("host", "")
    if code == "account_rate":
        sentence = (
            f"Host {host} counted {_number(last, 'used')} requests of account "
            f"{last.get('account')} in the window that allows "
            f"{_number(last, 'limit')}."
        )
        silent = int(float(last.get("silent_hosts", "0")))
        if silent:
            sentence += (
                f" {silent} of {last.get('hosts')} hosts were silent, and "
                "their even part was kept free for them: look for why they "
                "were not heard."
            )
        return code, sentence
    if code == "outcome_unknown":
        failed = [s.fields for s in steps if s.event == "attempt_failed"]
        if not failed:
            return code, "An answer came that could not be passed on."
        attempt = failed[-1]
        return code, (
            f"Backend server {attempt.get('backend')} got the request and "
            f"gave no usable answer ({attempt.get('reason')}); it was "
            f"expected within {_number(attempt, 'expected_ms')} ms at a load "
            f"of {_number(attempt, 'load')} on {attempt.get('slots')} slots, "
            f"known {_number(attempt, 'load_age_ms')} ms before."
        )
    if code in ("no_room", "no_backend", "late"):
        if "backend" not in last:
            return code, (
                f"No backend server of {last.get('service')} could be used: "
                "all were leaving, cold, ejected, evacuated or not allowed."
            )
        return code, (
            f"The best server, {last['backend']}, would have taken "
            f"{_number(last, 'expected_ms')} ms, "
            f"{_number(last, 'queue_ms')} ms of it waiting behind a load of "
            f"{_number(last, 'load')} on {last.get('slots')} slots: not in "
            "time. It was refused at once and did not run."
        )
    return code, (
        f"Host {host} refused it with {last.get('status')} ({code}) under "
        f"configuration {last.get('config')}; it did not run."
    )


def _explain_answer(last: dict[str, str]) -> tuple[str, str]:
    took = float(last.get("took_ms", "0"))
    target = float(last.get("target_ms", "inf"))
    where = (
        f"Backend server {last.get('backend')} answered "
        f"{last.get('status')} after {took:.0f} ms"
    )
    if not last.get("status", "").startswith("2"):
        return "backend_error", where + ": the failure is the server's own."
    if took <= target:
        return "in_time", where + "."
    reasons = []
    if float(last.get("queue_ms", "0")) > 0.0:
        reasons.append(f"it waited about {_number(last, 'queue_ms')} ms")
    if last.get("known_warm") == "False":
        reasons.append(
            "the host had not seen the server handle the object lately"
        )
    if float(last.get("slowness", "1")) > 1.5:
        reasons.append(
            f"the server was {float(last['slowness']):.1f} times slower "
            "than usual"
        )
    if not reasons:
        reasons.append(
            f"{_number(last, 'expected_ms')} ms had been expected: what "
            "slowed the server was not known yet"
        )
    return "late", f"{where}, later than {target:.0f}: " + "; ".join(reasons)


def _find_beliefs(steps: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    servers = {s.fields["backend"] for s in steps if "backend" in s.fields}
    end = steps[-1].time
    found: list[LogLine] = []
    for server in sorted(servers):
        host = steps[-1].fields.get("host")
        known = [
            line
            for line in lines
            if line.fields.get("backend") == server
            and "id" not in line.fields
            and line.fields.get("host") == host
            and line.time <= end
        ]
        known.sort(key=lambda line: line.time)
        found += known[-MAX_STATE_CHANGES_PER_SERVER:]
    return found


def _number(fields: dict[str, str], name: str) -> str:
    try:
        return f"{float(fields[name]):.0f}"
    except (KeyError, ValueError):
        return "?"


def _split(text: str) -> list[str]:
    if '"' not in text:
        return text.split()
    words = []
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
        words.append(f"{name}={value}")
        position += 1
    return words
