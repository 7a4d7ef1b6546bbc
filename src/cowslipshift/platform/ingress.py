"""Reads what callers send, and writes what they and backend servers get."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.platform import names

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "proxy-authenticate",
        "proxy-authorization",
    }
)

DEFAULT_DEADLINE_S = 30.0

_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS_HEADER,
        names.ACCOUNT_HEADER,
        names.INSTANCE_HEADER,
        names.API_KEY_HEADER,
    )
)


class RequestHeaders(msgspec.Struct, frozen=True):
    """What a caller says besides method, target and body.

    Attributes:
        id: Its id of the request, or empty.
        deadline_s: Seconds that it will wait.
        affinity_key: The object that the request concerns, or empty.
        api_key: Its key, or empty; never logged.
    """

    id: str
    deadline_s: float
    affinity_key: str
    api_key: str


class AnswerHeaders(msgspec.Struct, frozen=True):
    """What a backend server's answer says besides status and body.

    Attributes:
        request_id: Id of the request that it answers, or empty.
        is_signed: Whether the server signed it.
        has_not_run: Whether it says that the request did not run.
        load: Running and waiting requests, if it tells them.
    """

    request_id: str
    is_signed: bool
    has_not_run: bool
    load: tuple[int, int] | None


def parse_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Read the headers of a caller's request."""
    try:
        deadline_s = float(headers.get(names.DEADLINE_MS_HEADER, "")) / 1000.0
    except ValueError:
        deadline_s = DEFAULT_DEADLINE_S
    return RequestHeaders(
        id=headers.get(names.REQUEST_ID_HEADER, ""),
        deadline_s=min(max(deadline_s, 0.0), 3600.0),
        affinity_key=_read_cookie(headers.get("Cookie", "")),
        api_key=headers.get(names.API_KEY_HEADER, ""),
    )


def build_backend_headers(
    received: Iterable[tuple[str, str]],
    left_s: float,
    instance: str,
    account: str | None,
) -> list[tuple[str, str]]:
    """Build the headers that a backend server gets.

    Args:
        received: The caller's headers.
        left_s: Seconds until the answer is no longer wanted.
        instance: The server that is meant.
        account: Name of the client account, if there is one.
    """
    listed = dict.fromkeys(_CONNECTION_HEADERS | _OWN_HEADERS)
    headers = []
    for name, value in received:
        if name.lower() == "connection":
            listed |= dict.fromkeys(
                v.strip().lower() for v in value.split(",")
            )
    for name, value in received:
        if name.lower() not in listed:
            headers.append((name, value))
    headers.append((names.DEADLINE_MS_HEADER, str(max(1, int(left_s * 1000)))))
    headers.append((names.INSTANCE_HEADER, instance))
    if account is not None:
        headers.append((names.ACCOUNT_HEADER, account))
    return headers


def parse_answer_headers(
    status: int, headers: Mapping[str, str]
) -> AnswerHeaders:
    """Read the headers of a backend server's answer."""
    return AnswerHeaders(
        request_id=headers.get(names.REQUEST_ID_HEADER, ""),
        is_signed=names.SIGNATURE_HEADER in headers,
        has_not_run=names.NOT_EXECUTED_HEADER in headers or status == 421,
        load=_read_load(headers.get(names.LOAD_HEADER, "")),
    )


def filter_answer_headers(
    received: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an answer that a caller gets."""
    return [
        (name, value)
        for name, value in received
        if name.lower() not in _CONNECTION_HEADERS
    ]


def build_refusal_headers(
    request_id: str, retry_after_s: float | None
) -> dict[str, str]:
    """Return the headers of an answer of the system's own."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers[names.REQUEST_ID_HEADER] = request_id
    if retry_after_s is not None:
        headers["Retry-After"] = f"{retry_after_s:.2f}"
    return headers


def encode_public_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Write the answer to a caller that asks where to connect."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})


def _read_cookie(text: str) -> str:
    for pair in text.split(";"):
        name, _, value = pair.strip().partition("=")
        if name == names.AFFINITY_COOKIE:
            return value
    return ""


def _read_load(text: str) -> tuple[int, int] | None:
    parts = text.split(",")
    try:
        return int(parts[0]), int(parts[1])
    except (IndexError, ValueError):
        return None
