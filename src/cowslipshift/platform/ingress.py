"""Parses and builds the headers of requests and answers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from cowslipshift import statuses
from cowslipshift.platform import names
from cowslipshift.workload import reports

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

_HOP_BY_HOP_HEADERS = frozenset(
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

_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE_MS_HEADER,
        names.ACCOUNT_HEADER,
        names.INSTANCE_HEADER,
        names.API_KEY_HEADER,
    )
)


_PLATFORM_HEADERS = frozenset(
    name.lower()
    for name in (
        names.REQUEST_ID_HEADER,
        names.SIGNATURE_HEADER,
        names.DEADLINE_MS_HEADER,
        "Cookie",
        "Host",
    )
)
"""Headers that `Connection` cannot declare to concern one connection only."""

MAX_DEADLINE_S = 3600.0
MAX_REPORTED_LOAD = 100_000
"""Larger numbers in a load report are a fault of the server."""

PACE_FIELD = 3
"""Position, in a load report, of how long work takes on the machine."""

MAX_PACE_PERCENT = 10_000.0
"""A larger pace in a load report is a fault of the server."""

MAX_SERVER_WAIT_S = 3600.0
"""Longer waits that a server asks for are cut to this."""

MAX_SERVER_LIMIT = 1e6
"""Requests a second; a larger limit of a server is none."""


class RequestHeaders(msgspec.Struct, frozen=True):
    """What a client's request headers specify.

    Attributes:
        id: The client's id of the request, or empty.
        deadline_s: Seconds until the deadline, from 0 to `MAX_DEADLINE_S`;
            ``None`` if it is malformed.
        affinity_key: The object that the request concerns, or empty.
        api_key: The client's key, or empty; never logged.
    """

    id: str
    deadline_s: float | None
    affinity_key: str
    api_key: str


class AnswerHeaders(msgspec.Struct, frozen=True):
    """What the headers of a backend server's answer specify.

    Attributes:
        is_signed: Whether the server signed the answer.
        has_not_run: Whether the server states that the request did not run.
        is_stated: Whether a header states it, rather than the status alone.
        is_consistent: Whether status, statement and signature agree on
            whether the request ran.
        is_other_server: Whether another server than the one asked for answers.
        load: What the server states about its load, if anything.
        server_limit: Requests a second that the server takes from all hosts
            together; ``None`` if it states no limit.
        is_leaving: Whether the server states that it leaves.
        wait_s: Seconds for which the server, which turns the request away,
            wants no others; 0 if it states none.
    """

    is_signed: bool
    has_not_run: bool
    is_stated: bool
    is_consistent: bool
    is_other_server: bool
    load: reports.ServerLoad | None
    server_limit: float | None = None
    is_leaving: bool = False
    wait_s: float = 0.0


def parse_request_headers(headers: Mapping[str, str]) -> RequestHeaders:
    """Parse the headers of a client's request.

    A deadline that is missing counts as `DEFAULT_DEADLINE_S`.
    """
    text = headers.get(names.DEADLINE_MS_HEADER)
    return RequestHeaders(
        id=headers.get(names.REQUEST_ID_HEADER, ""),
        deadline_s=DEFAULT_DEADLINE_S
        if text is None
        else _parse_deadline(text),
        affinity_key=_parse_affinity_cookie(headers.get("Cookie", "")),
        api_key=headers.get(names.API_KEY_HEADER, ""),
    )


def build_backend_headers(
    received: Collection[tuple[str, str]],
    left_s: float,
    instance: str,
    account: str | None,
) -> list[tuple[str, str]]:
    """Build the request headers for a backend server.

    Headers of a single connection, the client's key and its values of headers
    that are set here are not forwarded.

    Args:
        received: The client's headers.
        left_s: Seconds until the deadline.
        instance: Id of the backend server.
        account: Name of the client account, if there is one.
    """
    dropped = _list_connection_headers(received) | _SYSTEM_HEADERS
    headers = [
        (name, value)
        for name, value in received
        if name.lower() not in dropped
    ]
    headers.append((names.DEADLINE_MS_HEADER, str(max(1, int(left_s * 1000)))))
    headers.append((names.INSTANCE_HEADER, instance))
    if account is not None:
        headers.append((names.ACCOUNT_HEADER, account))
    return headers


def is_answer_to(request_id: str, headers: Mapping[str, str]) -> bool:
    """Tell whether a backend server's answer is one to a request.

    Args:
        request_id: The client's id of the request, or empty.
        headers: Headers of the answer, which repeat the id.
    """
    return headers.get(names.REQUEST_ID_HEADER, "") == request_id


def parse_answer_headers(
    status: int, headers: Mapping[str, str]
) -> AnswerHeaders:
    """Parse the headers of a backend server's answer.

    Status 421 also means that the request did not run.
    """
    is_signed = names.SIGNATURE_HEADER in headers
    is_stated = names.NOT_EXECUTED_HEADER in headers
    has_not_run = is_stated or status == statuses.MISDIRECTED
    return AnswerHeaders(
        is_signed=is_signed,
        has_not_run=has_not_run,
        is_stated=is_stated,
        is_consistent=status >= statuses.FIRST_ERROR and not is_signed
        if has_not_run
        else status not in statuses.PROMISES,
        is_other_server=status == statuses.MISDIRECTED,
        load=_parse_load(headers.get(names.LOAD_HEADER, "")),
        server_limit=_parse_limit(headers.get(names.SERVER_LIMIT_HEADER, "")),
        is_leaving=headers.get(names.SERVER_LEAVING_HEADER, "").strip() == "1",
        wait_s=_parse_wait(headers.get(names.RETRY_AFTER_HEADER, ""))
        if status == statuses.UNAVAILABLE
        else 0.0,
    )


def filter_answer_headers(
    received: Collection[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return a backend server's headers without those of its connection."""
    dropped = _list_connection_headers(received)
    return [
        (name, value)
        for name, value in received
        if name.lower() not in dropped
    ]


def _list_connection_headers(
    received: Collection[tuple[str, str]],
) -> set[str]:
    """Return the names of headers that concern one connection only."""
    named = {
        part.strip().lower()
        for name, value in received
        if name.lower() == "connection"
        for part in value.split(",")
    }
    return (named - _PLATFORM_HEADERS) | _HOP_BY_HOP_HEADERS


def build_refusal_headers(
    request_id: str, retry_after_s: float | None
) -> dict[str, str]:
    """Build the headers of an answer that refuses a request."""
    headers = {"Content-Type": "application/json"}
    if request_id:
        headers[names.REQUEST_ID_HEADER] = request_id
    if retry_after_s is not None:
        headers[names.RETRY_AFTER_HEADER] = f"{retry_after_s:.2f}"
    return headers


def encode_public_addresses(addresses: list[str], ttl_s: float) -> bytes:
    """Encode the answer to a look-up: addresses and how long to cache them."""
    return msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})


def _parse_deadline(text: str) -> float | None:
    try:
        deadline_s = float(text) / 1000.0
    except ValueError:
        return None
    if not math.isfinite(deadline_s) or deadline_s < 0.0:
        return None
    return min(deadline_s, MAX_DEADLINE_S)


def _parse_wait(text: str) -> float:
    try:
        wait_s = float(text)
    except ValueError:
        return 0.0
    # A number that is none compares as false.
    return min(wait_s, MAX_SERVER_WAIT_S) if wait_s > 0.0 else 0.0


def _parse_limit(text: str) -> float | None:
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0.0 <= limit <= MAX_SERVER_LIMIT else None


def _parse_affinity_cookie(text: str) -> str:
    for pair in text.split(";"):
        name, _, value = pair.strip().partition("=")
        if name == names.AFFINITY_COOKIE:
            return value
    return ""


def _parse_load(text: str) -> reports.ServerLoad | None:
    parts = text.split(",")
    try:
        running, queued = int(parts[0]), int(parts[1])
    except (IndexError, ValueError):
        return None
    if min(running, queued) < 0 or max(running, queued) > MAX_REPORTED_LOAD:
        return None
    pace = _parse_pace(parts[PACE_FIELD]) if len(parts) > PACE_FIELD else None
    return reports.ServerLoad(running, queued, pace)


def _parse_pace(text: str) -> float | None:
    """Return the factor by which work takes longer; ``None`` if malformed."""
    try:
        percent = float(text)
    except ValueError:
        return None
    # A number that is none compares as false.
    return percent / 100.0 if 0.0 < percent <= MAX_PACE_PERCENT else None
