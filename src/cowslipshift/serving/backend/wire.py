"""Headers and messages with which hosts forward requests to each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import outcomes as outcome_types
from cowslipshift.peers import messages
from cowslipshift.serving import calls
from cowslipshift.serving import refusals

if TYPE_CHECKING:
    from collections.abc import Mapping

ACCOUNT_HEADER = "X-Forward-Account"
KEY_ID_HEADER = "X-Forward-Key-Id"
ATTEMPT_HEADER = "X-Forward-Attempt"
SCOPE_HEADER = "X-Forward-Scope"
ROUTE_HEADER = "X-Forward-Route"
VERSION_HEADER = "X-Forward-Version"
ORIGIN_HEADER = "X-Forward-Origin"
IDEMPOTENT_HEADER = "X-Forward-Idempotent"
INCARNATION_HEADER = "X-Forward-Incarnation"
REQUEST_HEADERS_HEADER = "X-Forward-Headers"
PURPOSE_HEADER = "X-Forward-Purpose"
LOAD_HEADER = "X-Forward-Load"
RESULT_HEADER = "X-Forward-Result"
SERVER_HEADER = "X-Backend-Server"

RESULT_REFUSED = "refused"
RESULT_ANSWERED = "answered"

PURPOSE_RUN = "run"
PURPOSE_KEYED = "keyed"
"""The receiver is asked as the owner of the idempotency key."""

SENT_HEADER = "X-Forward-Sent-Ms"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
REQUEST_ID_HEADER = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

_headers_decoder = msgspec.json.Decoder(list[tuple[str, str]])


class OutcomeTransfer(msgspec.Struct):
    """A bucket of outcomes that is sent to its new owner."""

    bucket: str
    known_since_s: float
    outcomes: list[outcome_types.Outcome]


class RecallRequest(msgspec.Struct):
    """Asks a host to recall an attempt."""

    attempt: str
    age_s: float


class RecallAnswer(msgspec.Struct):
    """The result of recalling an attempt."""

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
        scope: How far the receiver may forward it.
        attempt: Id of this attempt.
        incarnation: Expected incarnation of the receiver, or 0 for any.
        wall_s: Unix time in seconds.
    """
    return {
        ACCOUNT_HEADER: call.account,
        KEY_ID_HEADER: call.key_id,
        ATTEMPT_HEADER: attempt,
        SCOPE_HEADER: scope.value,
        ROUTE_HEADER: call.route,
        VERSION_HEADER: call.version,
        ORIGIN_HEADER: call.origin,
        IDEMPOTENT_HEADER: "1" if call.idempotent else "0",
        INCARNATION_HEADER: str(incarnation),
        PURPOSE_HEADER: purpose,
        SENT_HEADER: str(int(wall_s * 1000)),
        TIMEOUT_HEADER: str(max(1, int(remaining_s * 1000))),
        REQUEST_ID_HEADER: call.id,
        IDEMPOTENCY_KEY_HEADER: call.key,
        REQUEST_HEADERS_HEADER: _encode_headers(call.headers),
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
    """Parse a forwarded request.

    Raises:
        Refusal: A header is missing or malformed.
    """
    try:
        return calls.Call(
            id=headers[REQUEST_ID_HEADER],
            service=service,
            route=headers[ROUTE_HEADER],
            method=method,
            path=path,
            headers=_headers_decoder.decode(headers[REQUEST_HEADERS_HEADER]),
            body=body,
            account=headers[ACCOUNT_HEADER],
            key_id=headers[KEY_ID_HEADER],
            key=headers[IDEMPOTENCY_KEY_HEADER],
            idempotent=headers[IDEMPOTENT_HEADER] == "1",
            deadline_s=now + int(headers[TIMEOUT_HEADER]) / 1000,
            scope=calls.Scope(headers[SCOPE_HEADER]),
            attempt=headers[ATTEMPT_HEADER],
            origin=headers[ORIGIN_HEADER],
            version=headers[VERSION_HEADER],
        )
    except (KeyError, ValueError, msgspec.DecodeError) as error:
        raise refusals.refuse_malformed(
            "forward_malformed", f"a forwarded request is malformed: {error}"
        ) from error


def format_load(load: messages.ServiceLoad) -> str:
    """Format a load for the header of an answer."""
    return f"{load.usable},{load.in_use},{load.queued}"


def parse_load(service: str, text: str) -> messages.ServiceLoad | None:
    """Parse a load from the header of an answer; ``None`` if malformed."""
    try:
        usable, in_use, queued = (int(part) for part in text.split(","))
    except ValueError:
        return None
    return messages.ServiceLoad(service, usable, in_use, queued)
