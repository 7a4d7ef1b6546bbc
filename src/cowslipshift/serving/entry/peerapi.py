"""The HTTP interface between hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift.peers import credentials
from cowslipshift.peers import exceptions as peer_exceptions
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import wire
from cowslipshift.serving.entry import streaming
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.coordination import attempts
    from cowslipshift.peers import network as networks
    from cowslipshift.serving.backend import dispatcher as dispatchers
    from cowslipshift.serving.backend import slots as slot_allocators
    from cowslipshift.serving.decision import deduplication
    from cowslipshift.serving.decision import router as routers

FORWARD_PREFIX = "/peer/forward/"
MAX_TRANSFER_BYTES = 64 * 1024 * 1024


class PeerApi:
    """Answers forwarded requests, attempt recalls and outcome transfers.

    Args:
        secret: The hosts' shared secret.
        clock: Source of the present time.
        network: Links to other hosts, which share the listener.
        router: Runs requests within the data centre.
        dispatcher: Runs requests on this host's slots.
        slots: Reports the load of this host's slots.
        deduplicator: Runs requests whose idempotency keys this host owns.
        attempt_table: Attempts that were received or recalled.
        get_incarnation: Returns the incarnation of this process.
    """

    def __init__(
        self,
        secret: str,
        clock: clocks.Clock,
        network: networks.Network,
        router: routers.Router,
        dispatcher: dispatchers.Dispatcher,
        slots: slot_allocators.SlotAllocator,
        deduplicator: deduplication.RequestDeduplicator,
        attempt_table: attempts.AttemptTable,
        get_incarnation: Callable[[], int],
    ) -> None:
        self._secret = secret
        self._clock = clock
        self._network = network
        self._router = router
        self._dispatcher = dispatcher
        self._slots = slots
        self._deduplicator = deduplicator
        self._attempt_table = attempt_table
        self._get_incarnation = get_incarnation
        self._log = logs.EventLog("peerapi")

    def build_application(self) -> web.Application:
        """Return the HTTP application of the peer listener."""
        application = web.Application(
            client_max_size=MAX_TRANSFER_BYTES,
            middlewares=[self._authenticate],
        )
        router = application.router
        router.add_get("/peer/link", self._network.accept_link)
        router.add_post("/peer/recall", self._handle_recall)
        router.add_post("/peer/outcomes", self._handle_outcomes)
        router.add_route(
            "*", FORWARD_PREFIX + "{service}{path:.*}", self._handle_forward
        )
        return application

    @web.middleware
    async def _authenticate(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        try:
            credentials.check_credential(
                self._secret,
                request.headers.get(credentials.HEADER, ""),
                self._clock.wall(),
            )
        except peer_exceptions.PeerAuthenticationError as error:
            self._log.warn(
                "peer_refused", address=request.remote, reason=error
            )
            return web.Response(status=401, text=str(error))
        return await handler(request)

    async def _handle_forward(
        self, request: web.Request
    ) -> web.StreamResponse:
        service = request.match_info["service"]
        call: calls.Call | None = None
        try:
            call = self._parse_call(request, service)
            reply = await self._run(request, call)
        except Exception as error:
            refusal = self._describe_error(call, error)
            return web.Response(
                status=refusal.status,
                body=refusals.encode_refusal(refusal),
                headers=self._build_result_headers(
                    request, service, wire.RESULT_REFUSED
                ),
            )
        headers = self._build_result_headers(
            request, service, wire.RESULT_ANSWERED
        )
        headers[wire.SERVER_HEADER] = reply.server
        return await _send_reply(request, reply, headers)

    def _describe_error(
        self, call: calls.Call | None, error: Exception
    ) -> refusals.Refusal:
        if isinstance(error, refusals.Refusal):
            return error
        self._log.error(
            "forward_failed",
            request=call.id if call is not None else "",
            reason=repr(error),
        )
        return refusals.refuse_internal()

    def _parse_call(self, request: web.Request, service: str) -> calls.Call:
        path = request.raw_path[len(FORWARD_PREFIX + service) :]
        return wire.parse_call(
            request.headers,
            service=service,
            method=request.method,
            path=path,
            body=calls.Body(None, request.content, b"", request.content_length)
            if request.body_exists
            else calls.Body(b""),
            now=self._clock.now(),
        )

    async def _run(
        self, request: web.Request, call: calls.Call
    ) -> calls.Reply:
        """Run a forwarded request unless it was recalled.

        A request that this host certainly did not run is marked as such, so
        that it cannot start if it arrives again.
        """
        expected_incarnation = int(
            request.headers.get(wire.INCARNATION_HEADER, "0")
        )
        if expected_incarnation not in (0, self._get_incarnation()):
            raise refusals.refuse_overloaded(
                "the addressed process of this host no longer runs"
            )
        sent_s = int(request.headers.get(wire.SENT_HEADER, "0")) / 1000
        age_s = self._clock.wall() - sent_s
        if not self._attempt_table.try_start(
            call.attempt, age_s, self._clock.now()
        ):
            if self._attempt_table.was_started(call.attempt):
                raise refusals.refuse_unknown_outcome(
                    "this attempt was received twice"
                )
            raise refusals.refuse_overloaded("this attempt was recalled")
        try:
            if request.body_exists and (
                request.content_length is not None
                and request.content_length <= calls.REPLAY_LIMIT_BYTES
                or not call.idempotent
            ):
                call.body = await self._read_body(request, call)
            if request.headers.get(wire.PURPOSE_HEADER) == wire.PURPOSE_KEYED:
                return await self._deduplicator.run_as_owner(call)
            if call.scope is calls.Scope.HOST:
                return await self._dispatcher.run(call)
            return await self._router.run(call)
        except refusals.Refusal as refusal:
            if refusal.not_run:
                self._attempt_table.undo_start(call.attempt, self._clock.now())
            raise

    async def _read_body(
        self, request: web.Request, call: calls.Call
    ) -> calls.Body:
        timeout_s = call.deadline_s - self._clock.now()
        try:
            async with asyncio.timeout(timeout_s):
                return calls.Body(await request.read())
        except TimeoutError as error:
            raise refusals.refuse_late_body() from error

    def _build_result_headers(
        self, request: web.Request, service: str, result: str
    ) -> dict[str, str]:
        load = self._slots.measure_load(service)
        return {
            wire.ATTEMPT_HEADER: request.headers.get(wire.ATTEMPT_HEADER, ""),
            wire.RESULT_HEADER: result,
            wire.LOAD_HEADER: wire.format_load(load),
        }

    async def _handle_recall(self, request: web.Request) -> web.Response:
        try:
            recall = msgspec.json.decode(
                await request.read(), type=wire.RecallRequest
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        answer = self._attempt_table.recall(
            recall.attempt, recall.age_s, self._clock.now()
        )
        self._log.info("recall", attempt=recall.attempt, answer=answer.value)
        return web.Response(
            body=msgspec.json.encode(wire.RecallAnswer(answer.value))
        )

    async def _handle_outcomes(self, request: web.Request) -> web.Response:
        try:
            transfer = msgspec.json.decode(
                await request.read(), type=wire.OutcomeTransfer
            )
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        self._deduplicator.import_table(transfer)
        self._log.info(
            "outcomes_adopted",
            bucket=transfer.bucket,
            records=len(transfer.outcomes),
        )
        return web.Response()


async def _send_reply(
    request: web.Request, reply: calls.Reply, headers: dict[str, str]
) -> web.StreamResponse:
    if reply.length is not None and reply.length <= calls.REPLAY_LIMIT_BYTES:
        small = web.Response(status=reply.status, body=await reply.read())
        _set_headers(small, reply, headers)
        return small
    response = web.StreamResponse(status=reply.status)
    _set_headers(response, reply, headers)
    return await streaming.stream_reply(request, response, reply)


def _set_headers(
    response: web.StreamResponse, reply: calls.Reply, headers: dict[str, str]
) -> None:
    response.headers.popall("Content-Type", None)
    for name, value in reply.headers:
        response.headers.add(name, value)
    for name, value in headers.items():
        response.headers[name] = value
