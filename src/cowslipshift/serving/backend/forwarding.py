"""Forwarding of requests to other hosts."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING
import uuid

import aiohttp
import msgspec
import yarl

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift import statuses
from cowslipshift import transfers
from cowslipshift.coordination import attempts
from cowslipshift.peers import credentials
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.peers import messages
    from cowslipshift.serving.backend import transport

RECALL_TIMEOUT_S = 1.0
BUFFERED_BODY_MAX_BYTES = 65_536
MAX_CONTROL_ANSWER_BYTES = 65_536
"""Largest refusal, or answer to a recall, of another host."""


class ForwardFailedError(Exception):
    """A forwarded request got no answer.

    Attributes:
        not_run: Whether it is certain that the request never runs.
    """

    def __init__(self, message: str, not_run: bool) -> None:
        super().__init__(message)
        self.not_run = not_run


class Forwarder:
    """Forwards requests to other hosts over HTTP.

    Args:
        host: Name of this host.
        secret: The hosts' shared secret.
        clock: Source of the present time.
        sessions: HTTP sessions.
        find_address: Returns a host's peer address, or ``None``.
        find_incarnation: Returns the incarnation that a host is expected to
            have, or 0 for any.
    """

    def __init__(
        self,
        host: str,
        secret: str,
        clock: clocks.Clock,
        sessions: transport.Sessions,
        find_address: Callable[[str], str | None],
        find_incarnation: Callable[[str], int],
    ) -> None:
        self._host = host
        self._secret = secret
        self._clock = clock
        self._sessions = sessions
        self._find_address = find_address
        self._find_incarnation = find_incarnation
        self._load_listeners: list[
            Callable[[str, messages.ServiceLoad], None]
        ] = []

    def add_load_listener(
        self, listener: Callable[[str, messages.ServiceLoad], None]
    ) -> None:
        """Notify a listener of the loads that come with answers."""
        self._load_listeners.append(listener)

    async def forward(
        self,
        call: calls.Call,
        target: str,
        scope: calls.Scope,
        purpose: str = wire.PURPOSE_RUN,
    ) -> calls.Reply:
        """Forward a request and return the answer.

        Raises:
            Refusal: The other host refused it, or its deadline has passed.
            ForwardFailedError: No answer came.
        """
        address = self._find_address(target)
        if address is None:
            raise ForwardFailedError(f"host {target} has no address", True)
        attempt = uuid.uuid4().hex
        sent_s = self._clock.now()
        remaining_s = call.deadline_s - sent_s
        if remaining_s <= 0.0:
            raise refusals.refuse_expired()
        stack = contextlib.AsyncExitStack()
        try:
            response = await self._send(
                call, target, address, scope, purpose, attempt, remaining_s
            )
        except aiohttp.ClientConnectorError as error:
            raise ForwardFailedError(str(error), True) from error
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            not_run = await self._recall(address, attempt, sent_s, call)
            raise ForwardFailedError(repr(error), not_run) from error
        stack.callback(_close_response, response)
        bodies.limit_time(response, call.deadline_s - self._clock.now(), stack)
        self._record_load(target, call.service, response)
        return await self._read_reply(response, stack)

    async def transfer_outcomes(
        self, target: str, transfer: wire.OutcomeTransfer
    ) -> bool:
        """Send a bucket of outcomes to its new owner.

        Returns:
            Whether the new owner accepted it.
        """
        address = self._find_address(target)
        if address is None:
            return False
        raw = msgspec.json.encode(transfer)
        try:
            async with (
                asyncio.timeout(
                    transfers.measure_limit(RECALL_TIMEOUT_S * 2, len(raw))
                ),
                self._sessions.fresh.post(
                    f"http://{address}/peer/outcomes",
                    data=raw,
                    headers=self._sign(),
                ) as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    def _sign(self) -> dict[str, str]:
        credential = credentials.sign_credential(
            self._secret, self._host, self._clock.wall()
        )
        return {credentials.HEADER: credential}

    async def _send(
        self,
        call: calls.Call,
        target: str,
        address: str,
        scope: calls.Scope,
        purpose: str,
        attempt: str,
        remaining_s: float,
    ) -> aiohttp.ClientResponse:
        headers = wire.build_headers(
            call,
            remaining_s=remaining_s,
            purpose=purpose,
            scope=scope,
            attempt=attempt,
            incarnation=self._find_incarnation(target),
            wall_s=self._clock.wall(),
        )
        headers.update(self._sign())
        url = f"http://{address}/peer/forward/{call.service}{call.path}"
        session = (
            self._sessions.pooled if call.idempotent else self._sessions.fresh
        )
        async with asyncio.timeout(remaining_s):
            response = await session.request(
                call.method,
                yarl.URL(url, encoded=True),
                headers=headers,
                data=call.body.open(),
                allow_redirects=False,
            )
        if response.headers.get(wire.ATTEMPT_HEADER) != attempt:
            response.close()
            raise aiohttp.ClientPayloadError("answer to another attempt")
        connections.check_final(response)
        return response

    async def _read_reply(
        self,
        response: aiohttp.ClientResponse,
        stack: contextlib.AsyncExitStack,
    ) -> calls.Reply:
        result = response.headers.get(wire.RESULT_HEADER)
        if result != wire.RESULT_ANSWERED:
            raise await self._read_refusal(response, stack)
        if response.status in statuses.PROMISES:
            await stack.aclose()
            raise refusals.refuse_unknown_outcome(
                f"a backend server answered with status {response.status}"
            )
        reply = calls.Reply(
            response.status,
            [
                (name, value)
                for name, value in calls.copy_headers(response)
                if not name.startswith("X-Forward-")
            ],
            response=response,
            stack=stack,
            budget=self._sessions.budget,
            server=response.headers.get(wire.SERVER_HEADER, ""),
        )
        if (
            reply.length is not None
            and reply.length <= BUFFERED_BODY_MAX_BYTES
        ):
            try:
                await reply.read()
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                raise ForwardFailedError(repr(error), False) from error
        return reply

    async def _read_refusal(
        self,
        response: aiohttp.ClientResponse,
        stack: contextlib.AsyncExitStack,
    ) -> refusals.Refusal:
        async with stack:
            try:
                raw = await bodies.read_body(
                    response, MAX_CONTROL_ANSWER_BYTES, self._sessions.budget
                )
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                raise ForwardFailedError(repr(error), False) from error
        return refusals.decode_refusal(response.status, raw)

    async def _recall(
        self, address: str, attempt: str, sent_s: float, call: calls.Call
    ) -> bool:
        """Recall an attempt; return whether it certainly never runs."""
        if call.idempotent:
            return False
        request = wire.RecallRequest(attempt, self._clock.now() - sent_s)
        try:
            async with (
                asyncio.timeout(RECALL_TIMEOUT_S),
                self._sessions.fresh.post(
                    f"http://{address}/peer/recall",
                    data=msgspec.json.encode(request),
                    headers=self._sign(),
                ) as response,
            ):
                raw = await bodies.read_body(
                    response, MAX_CONTROL_ANSWER_BYTES, self._sessions.budget
                )
                answer = msgspec.json.decode(raw, type=wire.RecallAnswer)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False
        except msgspec.DecodeError:
            return False
        return answer.recall == attempts.RecallResult.NOT_STARTED.value

    def _record_load(
        self, target: str, service: str, response: aiohttp.ClientResponse
    ) -> None:
        load = wire.parse_load(
            service, response.headers.get(wire.LOAD_HEADER, "")
        )
        if load is not None:
            for listener in self._load_listeners:
                listener(target, load)


def _close_response(response: aiohttp.ClientResponse) -> None:
    if response.content.at_eof():
        response.release()
    else:
        response.close()
