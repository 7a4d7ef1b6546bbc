"""Headers of requests that one host passes to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import outcomes as outcome_types
from cowslipshift.peers import messages
from cowslipshift.serving import calls
from cowslipshift.serving import refusals

if TYPE_CHECKING:
    from collections.abc import Mapping

ACCOUNT = "X-Forward-Account"
KEY_ID = "X-Forward-Key-Id"
ATTEMPT = "X-Forward-Attempt"
SCOPE = "X-Forward-Scope"
ROUTE = "X-Forward-Route"
VERSION = "X-Forward-Version"
ORIGIN = "X-Forward-Origin"
IDEMPOTENT = "X-Forward-Idempotent"
INCARNATION = "X-Forward-Incarnation"
HEADERS = "X-Forward-Headers"
PURPOSE = "X-Forward-Purpose"
LOAD = "X-Forward-Load"
RESULT = "X-Forward-Result"
SERVER = "X-Backend-Server"

RESULT_REFUSED = "refused"
RESULT_ANSWERED = "answered"

PURPOSE_RUN = "run"
PURPOSE_KEYED = "keyed"
"""The receiver is asked as the home of the idempotency key."""

SENT = "X-Forward-Sent-Ms"
TIMEOUT = "X-Request-Timeout-Ms"
REQUEST_ID = "X-Request-Id"
IDEMPOTENCY_KEY = "Idempotency-Key"

_headers_decoder = msgspec.json.Decoder(list[tuple[str, str]])


class OutcomeTransfer(msgspec.Struct):
    """A bucket of outcomes on its way to its new home."""

    bucket: str
    known_since_s: float
    outcomes: list[outcome_types.Outcome]


class RecallRequest(msgspec.Struct):
    """Asks a host to take back an attempt."""

    attempt: str
    age_s: float


class RecallAnswer(msgspec.Struct):
    """What became of the attempt."""

    recall: str


def build_headers(
    call: calls.Call,
    *,
    remaining_s: float,
    purpose: str,
    scope: calls.Scope,
    attempt: str,
    incarnation: int,
    wall_s: float,
) -> dict[str, str]:
    """Build the headers of a forwarded request.

    Args:
        call: The request.
        remaining_s: Time left until its deadline.
        purpose: `PURPOSE_RUN` or `PURPOSE_KEYED`.
        scope: How far the receiver may pass it on.
        attempt: Id of this attempt.
        incarnation: The receiver's process that is meant, or 0 for any.
        wall_s: Unix time in seconds.
    """
    return {
        ACCOUNT: call.account,
        KEY_ID: call.key_id,
        ATTEMPT: attempt,
        SCOPE: scope.value,
        ROUTE: call.route,
        VERSION: call.version,
        ORIGIN: call.origin,
        IDEMPOTENT: "1" if call.idempotent else "0",
        INCARNATION: str(incarnation),
        PURPOSE: purpose,
        SENT: str(int(wall_s * 1000)),
        TIMEOUT: str(max(1, int(remaining_s * 1000))),
        REQUEST_ID: call.id,
        IDEMPOTENCY_KEY: call.key,
        HEADERS: _encode_headers(call.headers),
    }


def _encode_headers(headers: list[tuple[str, str]]) -> str:
    plain = [(str(name), value) for name, value in headers]
    return msgspec.json.encode(plain).decode()


def parse_call(
    headers: Mapping[str, str],
    *,
    service: str,
    method: str,
    path: str,
    body: calls.Body,
    now: float,
) -> calls.Call:
    """Read a forwarded request.

    Raises:
        Refusal: A header is missing or malformed.
    """
    try:
        return calls.Call(
            id=headers[REQUEST_ID],
            service=service,
            route=headers[ROUTE],
            method=method,
            path=path,
            headers=_headers_decoder.decode(headers[HEADERS]),
            body=body,
            account=headers[ACCOUNT],
            key_id=headers[KEY_ID],
            key=headers[IDEMPOTENCY_KEY],
            idempotent=headers[IDEMPOTENT] == "1",
            deadline_s=now + int(headers[TIMEOUT]) / 1000,
            scope=calls.Scope(headers[SCOPE]),
            attempt=headers[ATTEMPT],
            origin=headers[ORIGIN],
            version=headers[VERSION],
        )
    except (KeyError, ValueError, msgspec.DecodeError) as error:
        raise refusals.refuse_malformed(
            "forward_malformed", f"a forwarded request is malformed: {error}"
        ) from error


def format_load(load: messages.ServiceLoad) -> str:
    """Write a load for the header of an answer."""
    return f"{load.usable},{load.in_use},{load.queued}"


def parse_load(service: str, text: str) -> messages.ServiceLoad | None:
    """Read a load from the header of an answer."""
    try:
        usable, in_use, queued = (int(part) for part in text.split(","))
    except ValueError:
        return None
    return messages.ServiceLoad(service, usable, in_use, queued)
