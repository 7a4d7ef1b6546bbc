"""Error responses that this system sends to callers."""

from __future__ import annotations

import msgspec

from cowslipshift import exceptions
from cowslipshift import statuses


class Refusal(exceptions.CowslipshiftError):
    """A request that gets an error response instead of a backend response.

    Attributes:
        status: HTTP status code.
        not_run: Whether it is certain that no backend server ran the request.
        retry_after_ms: Milliseconds after which the caller may try again, or
            None.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        *,
        not_run: bool = True,
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(message, code)
        self.status = status
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms


class RefusalBody(msgspec.Struct):
    """The JSON form of a refusal."""

    code: str
    message: str
    not_run: bool
    retry_after_ms: int | None = None


def encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal as JSON."""
    return msgspec.json.encode(
        {
            "error": RefusalBody(
                refusal.code,
                refusal.message,
                refusal.not_run,
                refusal.retry_after_ms,
            )
        }
    )


def decode_refusal(status: int, raw: bytes) -> Refusal:
    """Decode a refusal that another host sent.

    A malformed body, or a status that promises more than the body does,
    becomes a refusal that says that the outcome is unknown.
    """
    try:
        body = msgspec.json.decode(raw, type=dict[str, RefusalBody])["error"]
    except (msgspec.DecodeError, KeyError, RecursionError):
        return refuse_unknown_outcome(
            "another host sent a malformed error response"
        )
    if status in statuses.PROMISES and not body.not_run:
        return refuse_unknown_outcome(body.message)
    return Refusal(
        status,
        body.code,
        body.message,
        not_run=body.not_run,
        retry_after_ms=body.retry_after_ms,
    )


def refuse_malformed(code: str, message: str) -> Refusal:
    """Refuse a malformed request."""
    return Refusal(400, code, message)


def refuse_overloaded(message: str, retry_after_ms: int = 1000) -> Refusal:
    """Refuse a request for which there is no capacity."""
    return Refusal(503, "overloaded", message, retry_after_ms=retry_after_ms)


def refuse_expired() -> Refusal:
    """Refuse a request whose deadline passed before it was run."""
    return Refusal(
        504,
        "deadline_passed",
        "the deadline passed before the request was run",
    )


def refuse_late_body() -> Refusal:
    """Refuse a request whose body had not arrived by its deadline."""
    return Refusal(
        408,
        "body_late",
        "the body did not arrive within the deadline",
    )


def refuse_timeout() -> Refusal:
    """Report that no backend server answered before the deadline."""
    return Refusal(
        504,
        "deadline_exceeded",
        "a backend server did not answer within the deadline",
        not_run=False,
    )


def refuse_unknown_outcome(message: str) -> Refusal:
    """Report that the outcome of a request is unknown."""
    return Refusal(502, "outcome_unknown", message, not_run=False)


def refuse_internal() -> Refusal:
    """Report an internal error; the request may have been run."""
    return Refusal(
        500,
        "internal",
        "internal error of this host; see its log",
        not_run=False,
    )


def refuse_key_withdrawn() -> Refusal:
    """Refuse a request whose API key is unknown or was withdrawn."""
    return Refusal(
        401, "key_invalid", "the API key is unknown or was withdrawn"
    )
