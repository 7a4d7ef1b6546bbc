"""Refusals that callers see."""

from __future__ import annotations

import msgspec

from cowslipshift import exceptions


class Refusal(exceptions.CowslipshiftError):
    """A request is not answered by a backend server.

    Attributes:
        status: HTTP status code.
        not_run: Whether it is certain that no backend server ran it.
        retry_after_ms: When another attempt makes sense, if ever.
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
    """Write a refusal as JSON."""
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
    """Read a refusal that another host sent.

    Rubbish is read as a refusal that leaves the outcome open.
    """
    try:
        body = msgspec.json.decode(raw, type=dict[str, RefusalBody])["error"]
    except (msgspec.DecodeError, KeyError):
        return refuse_unknown_outcome(
            "another host answered in a way not understood"
        )
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
    """Refuse what cannot be served within its deadline."""
    return Refusal(503, "overloaded", message, retry_after_ms=retry_after_ms)


def refuse_expired() -> Refusal:
    """Refuse a request whose deadline passed before it was started."""
    return Refusal(504, "deadline_passed", "the deadline passed in a queue")


def refuse_timeout() -> Refusal:
    """Report that a backend server did not answer in time."""
    return Refusal(
        504,
        "deadline_exceeded",
        "a backend server did not answer within the deadline",
        not_run=False,
    )


def refuse_unknown_outcome(message: str) -> Refusal:
    """Report that the outcome is not known."""
    return Refusal(502, "outcome_unknown", message, not_run=False)


def refuse_internal() -> Refusal:
    """Report a fault of this host; the request may have been run."""
    return Refusal(
        500,
        "internal",
        "this host failed to answer; look at its log",
        not_run=False,
    )


def refuse_key_withdrawn() -> Refusal:
    """Refuse a request whose key was withdrawn."""
    return Refusal(401, "key_invalid", "the key is not known or withdrawn")
