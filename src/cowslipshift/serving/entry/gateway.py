"""The HTTP interface for callers: look-ups, requests and outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING
import uuid

from aiohttp import web
import multidict

from cowslipshift import bodies
from cowslipshift.coordination import outcomes
from cowslipshift.routing import exceptions as routing_exceptions
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.decision import deduplication
from cowslipshift.serving.entry import bulkhead
from cowslipshift.serving.entry import parsing
from cowslipshift.serving.entry import streaming
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.routing import lookups
    from cowslipshift.serving.decision import quotas
    from cowslipshift.serving.decision import router as routers
    from cowslipshift.telemetry import metrics as metric
    from cowslipshift.topology import index as indexes

FORWARDED_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
)
OPEN_ACCOUNT = "-"
"""Account name of requests on routes that need no key."""


CLIENT_CLOSED_REQUEST_STATUS = 499
MAX_CACHED_LOOKUP_QUERIES = 20_000

_JSON_HEADERS = {"Content-Type": "application/json"}


class _RequestResult:
    """Result of a request, for its log line and metrics."""

    __slots__ = ("account", "code", "status")

    def __init__(self) -> None:
        self.account = ""
        self.code = ""
        self.status = CLIENT_CLOSED_REQUEST_STATUS


class Gateway:
    """Authenticates and validates callers' requests and answers them.

    Args:
        clock: Source of the present time.
        lookup_service: Answers look-ups.
        quota_manager: Enforces the quotas of accounts.
        router: Runs idempotent requests.
        deduplicator: Runs non-idempotent requests.
        metrics: Metrics of the host.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        lookup_service: lookups.LookupService,
        quota_manager: quotas.QuotaManager,
        router: routers.Router,
        deduplicator: deduplication.RequestDeduplicator,
        metrics: metric.Metrics,
    ) -> None:
        self._clock = clock
        self._lookup_service = lookup_service
        self._quota_manager = quota_manager
        self._router = router
        self._deduplicator = deduplicator
        self._metrics = metrics
        self._log = logs.EventLog("gateway")
        self._config_index: indexes.ConfigurationIndex | None = None
        self._bulkhead = bulkhead.Bulkhead()
        self._closed = False
        self._lookup_queries: dict[str, tuple[str, str]] = {}
        self.in_flight = 0

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration."""
        self._config_index = config_index

    def close(self) -> None:
        """Refuse requests from now on."""
        self._closed = True

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the callers' routes to an application."""
        router.add_get("/v1/lookup", self.handle_lookup)
        router.add_get("/v1/outcomes/{service}", self.handle_outcome)
        router.add_route(
            "*",
            parsing.SERVICE_PREFIX + "{service}{path:.*}",
            self.handle_request,
        )

    async def handle_lookup(self, request: web.Request) -> web.Response:
        """Answer which hosts to use for a service."""
        service, block = self._parse_lookup(request)
        try:
            raw = self._lookup_service.answer(
                service, block, self._clock.now(), self._clock.wall()
            )
        except routing_exceptions.LookupRefusedError as error:
            self._metrics.count(self._metrics.lookups, outcome=error.code)
            refusal = refusals.Refusal(error.status, error.code, error.message)
            return _build_refusal(refusal, "")
        self._metrics.count(self._metrics.lookups, outcome="answered")
        return web.Response(body=raw, headers=_JSON_HEADERS)

    def _parse_lookup(self, request: web.Request) -> tuple[str, str]:
        """Return service and block; caches parsed queries, as they recur."""
        text = request.rel_url.raw_query_string
        known = self._lookup_queries.get(text)
        if known is None:
            query = request.query
            known = query.get("service", ""), query.get("block", "")
            if len(self._lookup_queries) >= MAX_CACHED_LOOKUP_QUERIES:
                self._lookup_queries.clear()
            self._lookup_queries[text] = known
        service, block = known
        return service, block or request.remote or ""

    async def handle_outcome(self, request: web.Request) -> web.Response:
        """Answer with the outcome recorded for an idempotency key."""
        request_id = uuid.uuid4().hex
        try:
            call = self._parse_outcome_call(request, request_id)
            reply = await self._deduplicator.route(call)
            return _build_answer(reply, await reply.read(), request_id)
        except refusals.Refusal as refusal:
            return _build_refusal(refusal, request_id)

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a caller's request."""
        started_s = self._clock.now()
        request_id = uuid.uuid4().hex
        result = _RequestResult()
        self.in_flight += 1
        try:
            return await self._answer(request, request_id, started_s, result)
        finally:
            self.in_flight -= 1
            self._record_result(request, request_id, started_s, result)

    async def _answer(
        self,
        request: web.Request,
        request_id: str,
        started_s: float,
        result: _RequestResult,
    ) -> web.StreamResponse:
        try:
            call = await self._parse_call(request, request_id, started_s)
            result.account = call.account
            response = await self._run(request, call)
        except Exception as error:
            refusal = self._describe_error(request_id, error)
            result.code = refusal.code
            response = _build_refusal(refusal, request_id)
        result.status = response.status
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

    def _record_result(
        self,
        request: web.Request,
        request_id: str,
        started_s: float,
        result: _RequestResult,
    ) -> None:
        service = request.match_info["service"]
        elapsed_s = self._clock.now() - started_s
        if result.code:
            self._metrics.count(self._metrics.refusals, code=result.code)
        self._metrics.latency.observe({"service": service}, elapsed_s)
        self._metrics.count(
            self._metrics.requests, service=service, status=str(result.status)
        )
        self._log.info(
            "request",
            request=request_id,
            service=service,
            account=result.account,
            status=result.status,
            code=result.code,
            ms=elapsed_s * 1000,
        )

    async def _run(
        self, request: web.Request, call: calls.Call
    ) -> web.StreamResponse:
        if call.account != OPEN_ACCOUNT:
            await self._quota_manager.acquire(call.account, call.deadline_s)
        remaining_s = call.deadline_s - self._clock.now()
        async with self._bulkhead.enter(call.account, remaining_s):
            if call.idempotent:
                reply = await self._router.run(call)
            else:
                reply = await self._deduplicator.route(call)
            if reply.length is not None and (
                reply.length <= calls.REPLAY_LIMIT_BYTES
            ):
                return _build_answer(reply, await reply.read(), call.id)
            response = web.StreamResponse(
                status=reply.status,
                headers=_copy_reply_headers(reply, call.id),
            )
            return await streaming.stream_reply(request, response, reply)

    async def _parse_call(
        self, request: web.Request, request_id: str, now: float
    ) -> calls.Call:
        config_index = self._require_config_index()
        service = self._find_service(request)
        path = parsing.extract_path(request, service.name)
        route = config_index.services.find_route(
            service.name, path.partition("?")[0]
        )
        if route is None:
            raise refusals.Refusal(
                404,
                "route_unknown",
                f"service {service.name} has no such route",
            )
        account, key_id, secret = self._check_key(request, service, route)
        deadline_s = now + parsing.parse_timeout_s(request, service)
        key = parsing.parse_idempotency_key(request, route)
        if secret and secret in path:
            raise refusals.refuse_malformed(
                "key_in_path",
                "the API key must not appear in the path or query",
            )
        body = await parsing.read_body(
            request,
            service,
            not route.idempotent,
            deadline_s - self._clock.now(),
        )
        return calls.Call(
            id=request_id,
            service=service.name,
            route=route.name,
            method=request.method,
            path=path,
            headers=parsing.select_forwarded_headers(request, service, secret),
            body=body,
            account=account,
            key_id=key_id,
            key=key,
            idempotent=route.idempotent,
            deadline_s=deadline_s,
            origin=self._find_origin(request),
        )

    def _find_origin(self, request: web.Request) -> str:
        """Return the region nearest to the caller; empty if unknown."""
        try:
            blocks = self._require_config_index().blocks
            return blocks.find_region(request.remote or "") or ""
        except ValueError:
            return ""

    def _parse_outcome_call(
        self, request: web.Request, request_id: str
    ) -> calls.Call:
        service = self._find_service(request)
        key = request.query.get("key", "")
        if outcomes.parse_key(key) is None:
            raise refusals.refuse_malformed(
                "idempotency_key_malformed",
                "pass the idempotency key as ?key=",
            )
        route = next((r for r in service.routes if not r.open), None)
        if route is None:
            raise refusals.Refusal(
                404,
                "route_unknown",
                "no route of this service requires an API key",
            )
        account, key_id, _ = self._check_key(request, service, route)
        return calls.Call(
            id=request_id,
            service=service.name,
            route=deduplication.OUTCOME_ROUTE,
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
                "this host is leaving; look up another one",
                retry_after_ms=0,
            )
        name = request.match_info["service"]
        service = self._require_config_index().services.find_service(name)
        if service is None:
            raise refusals.Refusal(
                404, "service_unknown", f"there is no service '{name}'"
            )
        if request.method not in FORWARDED_METHODS:
            raise refusals.Refusal(
                405, "method_unknown", "this method is not forwarded"
            )
        return service

    def _check_key(
        self,
        request: web.Request,
        service: model.Service,
        route: model.Route,
    ) -> tuple[str, str, str]:
        """Return the account, key id and API key of a request."""
        accounts = self._require_config_index().accounts
        secret = parsing.parse_bearer_token(request)
        if route.open:
            return OPEN_ACCOUNT, "", secret
        if not secret:
            raise refusals.Refusal(
                401, "key_missing", "send the key as 'Authorization: Bearer'"
            )
        key = accounts.find_key(secret)
        if key is None or key.state != "active":
            raise refusals.refuse_key_withdrawn()
        if not accounts.may_use(key.account, service.name):
            raise refusals.Refusal(
                403,
                "service_forbidden",
                f"account {key.account} may not use service {service.name}",
            )
        return key.account, key.id, secret

    def _require_config_index(self) -> indexes.ConfigurationIndex:
        if self._config_index is None:
            raise refusals.Refusal(
                503,
                "no_configuration",
                "this host has no configuration yet",
                retry_after_ms=1000,
            )
        return self._config_index


def _build_refusal(refusal: refusals.Refusal, request_id: str) -> web.Response:
    headers = {"X-Request-Id": request_id}
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // 1000)
        headers["Retry-After"] = str(seconds)
    response = web.Response(
        status=refusal.status,
        body=refusals.encode_refusal(refusal),
        content_type="application/json",
        headers=headers,
    )
    if refusal.status in bodies.UNREAD_BODY_STATUSES:
        response.force_close()
    return response


def _copy_reply_headers(
    reply: calls.Reply, request_id: str
) -> multidict.CIMultiDict[str]:
    headers = multidict.CIMultiDict(reply.headers)
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
