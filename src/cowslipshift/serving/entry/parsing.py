"""Parsing of callers' requests: keys, paths, deadlines, headers, bodies."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from cowslipshift.coordination import outcomes
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import wire

if TYPE_CHECKING:
    from aiohttp import web

    from cowslipshift.config import model

SERVICE_PREFIX = "/v1/services/"

FORWARDED_HEADERS = frozenset(
    {
        "accept",
        "accept-encoding",
        "accept-language",
        "content-encoding",
        "content-language",
        "content-type",
        "if-match",
        "if-modified-since",
        "if-none-match",
        "if-unmodified-since",
        "range",
        "traceparent",
        "tracestate",
        "user-agent",
    }
)

MAX_TIMEOUT_DIGITS = 9
MAX_KEY_CHARS = 512
MAX_KEYED_BODY_BYTES = 8 * 1024 * 1024

_PATH_TRAVERSAL = re.compile(r"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)


def parse_bearer_token(request: web.Request) -> str:
    """Return the API key that a caller sent, or an empty string if none.

    Raises:
        Refusal: The header is malformed.
    """
    values = request.headers.getall("Authorization", [])
    if not values:
        return ""
    scheme, _, secret = values[0].partition(" ")
    if len(values) > 1 or scheme.lower() != "bearer" or not secret.strip():
        raise refusals.refuse_malformed(
            "key_malformed", "send the key as 'Authorization: Bearer'"
        )
    if len(secret) > MAX_KEY_CHARS:
        raise refusals.refuse_malformed("key_malformed", "the key is too long")
    return secret.strip()


def extract_path(request: web.Request, service: str) -> str:
    """Return path and query below the service, as the caller sent them.

    Raises:
        Refusal: The path is malformed or has dot segments.
    """
    raw = request.raw_path
    if not raw.startswith(SERVICE_PREFIX + service):
        raise refusals.refuse_malformed(
            "path_malformed", "the path is malformed"
        )
    path = raw[len(SERVICE_PREFIX + service) :]
    path = path.partition("#")[0]
    if not path or path.startswith("?"):
        path = "/" + path
    if not path.startswith("/") or _PATH_TRAVERSAL.search(
        path.partition("?")[0]
    ):
        raise refusals.refuse_malformed(
            "path_malformed", "the path is malformed"
        )
    return path


def parse_timeout_s(request: web.Request, service: model.Service) -> float:
    """Return the seconds that the caller is willing to wait.

    Raises:
        Refusal: The header is malformed, or the time is too long.
    """
    text = request.headers.get(wire.TIMEOUT_HEADER)
    if text is None:
        return service.default_deadline_ms / 1000
    if not (text.isascii() and text.isdecimal()) or (
        len(text) > MAX_TIMEOUT_DIGITS or int(text) == 0
    ):
        raise refusals.refuse_malformed(
            "deadline_malformed",
            f"{wire.TIMEOUT_HEADER} must be a positive number of milliseconds",
        )
    if int(text) > service.max_deadline_ms:
        raise refusals.refuse_malformed(
            "deadline_too_long",
            f"service {service.name} allows {service.max_deadline_ms} ms",
        )
    return int(text) / 1000


def parse_idempotency_key(request: web.Request, route: model.Route) -> str:
    """Return the idempotency key; empty if the route needs none.

    Raises:
        Refusal: It is missing or malformed.
    """
    if route.idempotent:
        return ""
    text = request.headers.get(wire.IDEMPOTENCY_KEY_HEADER, "")
    if not text:
        raise refusals.refuse_malformed(
            "idempotency_key_missing",
            f"route {route.name} needs the header "
            f"{wire.IDEMPOTENCY_KEY_HEADER}",
        )
    if outcomes.parse_key(text) is None:
        raise refusals.refuse_malformed(
            "idempotency_key_malformed",
            "the idempotency key must be [data-centre:]uuid-version-7",
        )
    return text


def select_forwarded_headers(
    request: web.Request, service: model.Service, secret: str
) -> list[tuple[str, str]]:
    """Return the headers for the backend server, without the API key."""
    extra = {name.lower() for name in service.forward_headers}
    return [
        (name, value)
        for name, value in request.headers.items()
        if (name.lower() in FORWARDED_HEADERS or name.lower() in extra)
        and not (secret and secret in value)
    ]


async def read_body(
    request: web.Request,
    service: model.Service,
    whole: bool,
    timeout_s: float,
) -> calls.Body:
    """Read a request body; stream the rest of a large one.

    Args:
        request: The caller's request.
        service: The service that is asked.
        whole: Whether to read even a large body completely, because the
            request may have to be repeated.
        timeout_s: Time within which what is read here has to arrive.

    Raises:
        Refusal: The body is too large, or late.
    """
    if not request.body_exists:
        return calls.Body(b"")
    length = request.content_length
    limit = service.max_body_bytes
    if whole:
        limit = min(limit, MAX_KEYED_BODY_BYTES)
    if length is not None and length > limit:
        raise _refuse_large(limit)
    buffer_limit = limit if whole else calls.REPLAY_LIMIT_BYTES
    head = bytearray()
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_chunked(calls.CHUNK_BYTES):
                head += chunk
                if len(head) > limit:
                    raise _refuse_large(limit)
                if len(head) > buffer_limit:
                    return calls.Body(
                        None, request.content, bytes(head), length, limit
                    )
    except TimeoutError as error:
        raise refusals.refuse_late_body() from error
    return calls.Body(bytes(head))


def _refuse_large(limit: int) -> refusals.Refusal:
    return refusals.Refusal(
        413, "body_too_large", f"the body exceeds the limit of {limit} bytes"
    )
