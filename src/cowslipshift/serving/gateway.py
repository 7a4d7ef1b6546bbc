"""The callers' HTTP interface: look-ups, requests and outcomes."""

from __future__ import annotations

import re
from typing import Any
from typing import TYPE_CHECKING
import uuid

from aiohttp import web

from cowslipshift.coordination import outcomes
from cowslipshift.routing import exceptions as routing_exceptions
from cowslipshift.serving import bulkhead
from cowslipshift.serving import calls
from cowslipshift.serving import keyed as keyed_calls
from cowslipshift.serving import refusals
from cowslipshift.serving import wire
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.routing import directory as directories
    from cowslipshift.serving import allowance as allowances
    from cowslipshift.serving import router as routers
    from cowslipshift.telemetry import metrics as metric
    from cowslipshift.world import atlas as atlases

SERVICE_PREFIX = "/v1/services/"
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})
OPEN_ACCOUNT = "-"
"""Account name of requests on routes that are open to all."""

PASSED_HEADERS = frozenset(
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

_TRAVERSAL = re.compile(r"/(?:\.|%2e){1,2}(?:/|$)", re.IGNORECASE)


CALLER_GONE_STATUS = 499
MAX_LOOKUP_QUERIES = 20_000

_JSON_HEADERS = {"Content-Type": "application/json"}


class _Outcome:
    """What became of a request, for its log line and metrics."""

    __slots__ = ("account", "code", "status")

    def __init__(self) -> None:
        self.account = ""
        self.code = ""
        self.status = CALLER_GONE_STATUS


class Gateway:
    """Checks callers' requests and answers them.

    Args:
        clock: Source of the present time.
        directory: Answers look-ups.
        allowance: Holds accounts to their rate.
        router: Runs idempotent requests.
        keyed: Runs non-idempotent requests.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        directory: directories.Directory,
        allowance: allowances.AllowanceDesk,
        router: routers.Router,
        keyed: keyed_calls.KeyedCalls,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._allowance = allowance
        self._router = router
        self._keyed = keyed
        self._metrics = metrics
        self._log = logs.EventLog("gateway")
        self._atlas: atlases.Atlas | None = None
        self._bulkhead = bulkhead.Bulkhead()
        self._closed = False
        self._lookups: dict[str, tuple[str, str]] = {}
        self.running = 0

    def apply(self, atlas: atlases.Atlas) -> None:
        """Follow a new configuration."""
        self._atlas = atlas

    def close(self) -> None:
        """Refuse requests from now on."""
        self._closed = True

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the callers' routes to an application."""
        router.add_get("/v1/lookup", self.handle_lookup)
        router.add_get("/v1/outcomes/{service}", self.handle_outcome)
        router.add_route(
            "*", SERVICE_PREFIX + "{service}{path:.*}", self.handle_request
        )

    async def handle_lookup(self, request: web.Request) -> web.Response:
        """Answer which hosts to use for a service."""
        service, block = self._parse_lookup(request)
        try:
            raw = self._directory.answer(
                service, block, self._clock.now(), self._clock.wall()
            )
        except routing_exceptions.LookupRefusedError as error:
            self._metrics.count(self._metrics.lookups, outcome=error.code)
            refusal = refusals.Refusal(error.status, error.code, error.message)
            return _build_refusal(refusal, "")
        self._metrics.count(self._metrics.lookups, outcome="answered")
        return web.Response(body=raw, headers=_JSON_HEADERS)

    def _parse_lookup(self, request: web.Request) -> tuple[str, str]:
        """Return service and block; queries repeat, so they are kept."""
        text = request.rel_url.raw_query_string
        known = self._lookups.get(text)
        if known is None:
            query = request.query
            known = query.get("service", ""), query.get("block", "")
            if len(self._lookups) >= MAX_LOOKUP_QUERIES:
                self._lookups.clear()
            self._lookups[text] = known
        service, block = known
        return service, block or request.remote or ""

    async def handle_outcome(self, request: web.Request) -> web.Response:
        """Tell what became of an idempotency key."""
        request_id = uuid.uuid4().hex
        try:
            call = self._parse_outcome_call(request, request_id)
            reply = await self._keyed.route(call)
            return _build_answer(reply, await reply.read(), request_id)
        except refusals.Refusal as refusal:
            return _build_refusal(refusal, request_id)

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a caller's request."""
        started_s = self._clock.now()
        request_id = uuid.uuid4().hex
        outcome = _Outcome()
        self.running += 1
        try:
            return await self._answer(request, request_id, started_s, outcome)
        finally:
            self.running -= 1
            self._note_outcome(request, request_id, started_s, outcome)

    async def _answer(
        self,
        request: web.Request,
        request_id: str,
        started_s: float,
        outcome: _Outcome,
    ) -> web.StreamResponse:
        try:
            call = await self._parse_call(request, request_id, started_s)
            outcome.account = call.account
            response = await self._run(request, call)
        except Exception as error:
            refusal = self._describe_error(request_id, error)
            outcome.code = refusal.code
            response = _build_refusal(refusal, request_id)
        outcome.status = response.status
        return response

    def _describe_error(
        self, request_id: str, error: Exception
    ) -> refusals.Refusal:
        if isinstance(error, refusals.Refusal):
            return error
        self._log.error(
            "request_failed", request=request_id, reason=repr(error)
        )
        return refusals.refuse_internal()

    def _note_outcome(
        self,
        request: web.Request,
        request_id: str,
        started_s: float,
        outcome: _Outcome,
    ) -> None:
        service = request.match_info["service"]
        elapsed_s = self._clock.now() - started_s
        if outcome.code:
            self._metrics.count(self._metrics.refusals, code=outcome.code)
        self._metrics.latency.observe({"service": service}, elapsed_s)
        self._metrics.count(
            self._metrics.requests, service=service, status=str(outcome.status)
        )
        self._log.info(
            "request",
            request=request_id,
            service=service,
            account=outcome.account,
            status=outcome.status,
            code=outcome.code,
            ms=elapsed_s * 1000,
        )

    async def _run(
        self, request: web.Request, call: calls.Call
    ) -> web.StreamResponse:
        if call.account != OPEN_ACCOUNT:
            await self._allowance.acquire(call.account, call.deadline_s)
        remaining_s = call.deadline_s - self._clock.now()
        async with self._bulkhead.enter(call.account, remaining_s):
            if call.idempotent:
                reply = await self._router.run(call)
            else:
                reply = await self._keyed.route(call)
            if reply.length is not None and (
                reply.length <= calls.REPLAY_LIMIT_BYTES
            ):
                return _build_answer(reply, await reply.read(), call.id)
            return await _stream_answer(request, reply, call.id)

    async def _parse_call(
        self, request: web.Request, request_id: str, now: float
    ) -> calls.Call:
        atlas = self._require_atlas()
        service = self._find_service(request)
        path = _extract_path(request, service.name)
        route = atlas.services.find_route(service.name, path.partition("?")[0])
        if route is None:
            raise refusals.Refusal(
                404,
                "route_unknown",
                f"service {service.name} has no such route",
            )
        account, key_id, secret = self._check_key(request, service, route)
        deadline_s = now + _parse_timeout_s(request, service)
        key = _parse_idempotency_key(request, route)
        if secret and secret in path:
            raise refusals.refuse_bad(
                "key_in_path", "the key must not stand in the path or query"
            )
        body = await _read_body(request, service, not route.idempotent)
        return calls.Call(
            id=request_id,
            service=service.name,
            route=route.name,
            method=request.method,
            path=path,
            headers=_pass_headers(request, service, secret),
            body=body,
            account=account,
            key_id=key_id,
            key=key,
            idempotent=route.idempotent,
            deadline_s=deadline_s,
            origin=self._find_origin(request),
        )

    def _find_origin(self, request: web.Request) -> str:
        """Return the region nearest to the caller, empty if not listed."""
        try:
            blocks = self._require_atlas().blocks
            return blocks.find_region(request.remote or "") or ""
        except ValueError:
            return ""

    def _parse_outcome_call(
        self, request: web.Request, request_id: str
    ) -> calls.Call:
        service = self._find_service(request)
        key = request.query.get("key", "")
        if outcomes.parse_key(key) is None:
            raise refusals.refuse_bad(
                "idempotency_key_malformed", "give the key as ?key="
            )
        route = next((r for r in service.routes if not r.open), None)
        if route is None:
            raise refusals.Refusal(
                404, "route_unknown", "all routes of this service are open"
            )
        account, key_id, _ = self._check_key(request, service, route)
        return calls.Call(
            id=request_id,
            service=service.name,
            route=keyed_calls.OUTCOME_ROUTE,
            method="GET",
            path="/",
            headers=[],
            body=calls.Body(b""),
            account=account,
            key_id=key_id,
            key=key,
            idempotent=False,
            deadline_s=self._clock.now() + service.default_deadline_ms / 1000,
        )

    def _find_service(self, request: web.Request) -> model.Service:
        if self._closed:
            raise refusals.Refusal(
                503,
                "host_leaving",
                "this host is leaving; ask for another one",
                retry_after_ms=0,
            )
        name = request.match_info["service"]
        service = self._require_atlas().services.find_service(name)
        if service is None:
            raise refusals.Refusal(
                404, "service_unknown", f"there is no service '{name}'"
            )
        if request.method not in METHODS:
            raise refusals.Refusal(
                405, "method_unknown", "this method is not passed on"
            )
        return service

    def _check_key(
        self,
        request: web.Request,
        service: model.Service,
        route: model.Route,
    ) -> tuple[str, str, str]:
        """Return account, key id and key of a request."""
        contracts = self._require_atlas().contracts
        secret = _parse_bearer(request)
        if route.open:
            return OPEN_ACCOUNT, "", secret
        if not secret:
            raise refusals.Refusal(
                401, "key_missing", "send the key as 'Authorization: Bearer'"
            )
        key = contracts.find_key(secret)
        if key is None or key.state != "active":
            raise refusals.refuse_key_withdrawn()
        if not contracts.may_use(key.account, service.name):
            raise refusals.Refusal(
                403,
                "service_forbidden",
                f"account {key.account} may not use service {service.name}",
            )
        return key.account, key.id, secret

    def _require_atlas(self) -> atlases.Atlas:
        if self._atlas is None:
            raise refusals.Refusal(
                503,
                "no_configuration",
                "this host has no configuration yet",
                retry_after_ms=1000,
            )
        return self._atlas


def _parse_bearer(request: web.Request) -> str:
    values = request.headers.getall("Authorization", [])
    if not values:
        return ""
    scheme, _, secret = values[0].partition(" ")
    if len(values) > 1 or scheme.lower() != "bearer" or not secret.strip():
        raise refusals.refuse_bad(
            "key_malformed", "send the key as 'Authorization: Bearer'"
        )
    if len(secret) > MAX_KEY_CHARS:
        raise refusals.refuse_bad("key_malformed", "the key is too long")
    return secret.strip()


def _extract_path(request: web.Request, service: str) -> str:
    """Return path and query below the service, as the caller wrote them."""
    raw = request.raw_path
    if not raw.startswith(SERVICE_PREFIX + service):
        raise refusals.refuse_bad("path_malformed", "the path is malformed")
    path = raw[len(SERVICE_PREFIX + service) :]
    path = path.partition("#")[0]
    if not path or path.startswith("?"):
        path = "/" + path
    if not path.startswith("/") or _TRAVERSAL.search(path.partition("?")[0]):
        raise refusals.refuse_bad("path_malformed", "the path is malformed")
    return path


def _parse_timeout_s(request: web.Request, service: model.Service) -> float:
    text = request.headers.get(wire.TIMEOUT)
    if text is None:
        return service.default_deadline_ms / 1000
    if not (text.isascii() and text.isdecimal()) or (
        len(text) > MAX_TIMEOUT_DIGITS or int(text) == 0
    ):
        raise refusals.refuse_bad(
            "deadline_malformed",
            f"{wire.TIMEOUT} must be a positive number of milliseconds",
        )
    if int(text) > service.max_deadline_ms:
        raise refusals.refuse_bad(
            "deadline_too_long",
            f"service {service.name} allows {service.max_deadline_ms} ms",
        )
    return int(text) / 1000


def _parse_idempotency_key(request: web.Request, route: model.Route) -> str:
    if route.idempotent:
        return ""
    text = request.headers.get(wire.IDEMPOTENCY_KEY, "")
    if not text:
        raise refusals.refuse_bad(
            "idempotency_key_missing",
            f"route {route.name} needs the header {wire.IDEMPOTENCY_KEY}",
        )
    if outcomes.parse_key(text) is None:
        raise refusals.refuse_bad(
            "idempotency_key_malformed",
            "the idempotency key must be [data-centre:]uuid-version-7",
        )
    return text


def _pass_headers(
    request: web.Request, service: model.Service, secret: str
) -> list[tuple[str, str]]:
    """Return the headers that a backend server may see, without the key."""
    extra = {name.lower() for name in service.forward_headers}
    return [
        (name, value)
        for name, value in request.headers.items()
        if (name.lower() in PASSED_HEADERS or name.lower() in extra)
        and not (secret and secret in value)
    ]


async def _read_body(
    request: web.Request, service: model.Service, whole: bool
) -> calls.Body:
    """Read a body whole if it is small or must be repeated."""
    if not request.body_exists:
        return calls.Body(b"")
    length = request.content_length
    limit = service.max_body_bytes
    if whole:
        limit = min(limit, MAX_KEYED_BODY_BYTES)
    if length is not None and length > limit:
        raise _refuse_large(limit)
    keep = limit if whole else calls.REPLAY_LIMIT_BYTES
    head = bytearray()
    async for chunk in request.content.iter_chunked(calls.CHUNK_BYTES):
        head += chunk
        if len(head) > limit:
            raise _refuse_large(limit)
        if len(head) > keep:
            return calls.Body(
                None, request.content, bytes(head), length, limit
            )
    return calls.Body(bytes(head))


def _refuse_large(limit: int) -> refusals.Refusal:
    return refusals.Refusal(
        413, "body_too_large", f"the body may have {limit} bytes"
    )


def _build_refusal(refusal: refusals.Refusal, request_id: str) -> web.Response:
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers["Retry-After"] = str(seconds)
    return web.Response(
        status=refusal.status,
        body=refusals.encode_refusal(refusal),
        content_type="application/json",
        headers=headers,
    )


def _copy_reply_headers(reply: calls.Reply, request_id: str) -> Any:
    headers: Any = web.Response().headers
    headers.clear()
    for name, value in reply.headers:
        headers.add(name, value)
    headers["X-Request-Id"] = request_id
    return headers


def _build_answer(
    reply: calls.Reply, content: bytes, request_id: str
) -> web.Response:
    return web.Response(
        status=reply.status,
        body=content,
        headers=_copy_reply_headers(reply, request_id),
    )


async def _stream_answer(
    request: web.Request, reply: calls.Reply, request_id: str
) -> web.StreamResponse:
    response = web.StreamResponse(
        status=reply.status,
        headers=_copy_reply_headers(reply, request_id),
    )
    if reply.length is not None:
        response.content_length = reply.length
    try:
        await response.prepare(request)
        async for chunk in reply.iterate():
            await response.write(chunk)
        await response.write_eof()
    except BaseException:
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        await reply.close()
    return response
