"""Stand-in for a backend server on a platform.

It has slots and a short queue, serves recently used objects faster, signs
its answers, sheds requests when the queue is full, and records the requests
that it ran.
"""

from __future__ import annotations

import asyncio
import collections
from typing import Any
import weakref

from aiohttp import web
import msgspec

from cowslipshift.platform import ingress
from cowslipshift.platform import names

MAX_WARM_OBJECTS = 30
QUEUE_PER_SLOT = 3


class Behaviour(msgspec.Struct):
    """Performance of the server and the faults that it injects.

    Attributes:
        service_s: Service time of a request for a cold object.
        warm_factor: Fraction of that time for a warm object.
        fail_every: Answer every n-th request with 500; 0 for none.
        silent: Accept requests and never answer.
        cut_short: Close the connection in the middle of the answer.
        crossed: Answer with the id of another request.
        unsigned: Omit the signature header.
        shed: Reject all requests as not executed.
        limit: Requests a second that its answers say it takes; none if empty.
        leaving: Say in all answers that it leaves.
        wait: Seconds, in its refusals, for which it wants no requests.
        copies_refusals: Write the copy of each refusal where the answer to
            the next request on its connection is due.
    """

    service_s: float = 0.03
    warm_factor: float = 0.3
    fail_every: int = 0
    silent: bool = False
    cut_short: bool = False
    crossed: bool = False
    unsigned: bool = False
    shed: bool = False
    limit: str = ""
    leaving: bool = False
    wait: str = ""
    copies_refusals: bool = False


class RequestRecord(msgspec.Struct, frozen=True):
    """One request that the server ran, as it arrived.

    Attributes:
        arrived_s: Time of the event loop at which it did.
    """

    id: str
    path: str
    body: bytes
    headers: dict[str, str]
    arrived_s: float = 0.0


class PlatformBackendStandIn:
    """HTTP handler and state of one backend server.

    Args:
        identity: Id of the server, which requests have to name.
        slots: Requests that it runs concurrently.
    """

    def __init__(self, identity: str, slots: int) -> None:
        self.identity = identity
        self.slots = slots
        self.behaviour = Behaviour()
        self.records: list[RequestRecord] = []
        self.shed_s: list[float] = []
        self.cancelled_count = 0
        self._sequence = 0
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._warm_objects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._refusals: weakref.WeakKeyDictionary[
            asyncio.BaseTransport, web.Response
        ] = weakref.WeakKeyDictionary()

    def build_entry(
        self,
        address: str,
        service: str,
        data_centre: str,
        version: str = "v1",
        state: str = "ready",
        cold_ms: int = 0,
    ) -> bytes:
        """Return the server's next entry, with which it registers."""
        self._sequence += 1
        return msgspec.json.encode(
            {
                "address": address,
                "info": {
                    "service": service,
                    "version": version,
                    "zone": data_centre,
                    "concurrency": self.slots,
                },
                "status": {
                    "state": state,
                    "seq": self._sequence,
                    "cold_remaining_ms": cold_ms,
                },
                "born": 1,
            }
        )

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or answer that it was not executed."""
        self._write_copy(request)
        response = await self._handle(request)
        if not isinstance(response, web.Response):
            return response
        is_refusal = response.status == 421 or (
            names.NOT_EXECUTED_HEADER in response.headers
        )
        if self.behaviour.copies_refusals and is_refusal:
            assert request.transport is not None
            self._refusals[request.transport] = response
        return response

    def _write_copy(self, request: web.Request) -> None:
        """Write the copy of the last refusal on a connection, if any."""
        assert request.transport is not None
        refusal = self._refusals.pop(request.transport, None)
        if refusal is None:
            return
        lines = [f"{name}: {value}" for name, value in refusal.headers.items()]
        head = "\r\n".join([f"HTTP/1.1 {refusal.status} Copy", *lines])
        transport = request.transport
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(f"{head}\r\n\r\n".encode())

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        own_headers = {
            names.REQUEST_ID_HEADER: request.headers.get(
                names.REQUEST_ID_HEADER, ""
            )
        }
        if request.headers.get(names.INSTANCE_HEADER, "") != self.identity:
            return web.Response(status=421, headers=own_headers)
        limit = self.slots * (1 + QUEUE_PER_SLOT)
        if self.behaviour.shed:
            self.shed_s.append(asyncio.get_running_loop().time())
        if self.behaviour.shed or self._running + self._waiting >= limit:
            return web.Response(
                status=503,
                headers={
                    names.NOT_EXECUTED_HEADER: "1",
                    **own_headers,
                    **self._build_signals(),
                },
            )
        body = await request.read()
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request, body)
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise
        finally:
            self._running -= 1
            self._free.release()

    async def _run(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        behaviour = self.behaviour
        metadata = ingress.parse_request_headers(request.headers)
        self.records.append(
            RequestRecord(
                metadata.id,
                request.raw_path,
                body,
                dict(request.headers),
                asyncio.get_running_loop().time(),
            )
        )
        if behaviour.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(
            behaviour.service_s
            * self._choose_time_factor(metadata.affinity_key)
        )
        number = len(self.records)
        is_failure = (
            behaviour.fail_every and number % behaviour.fail_every == 0
        )
        headers: dict[str, Any] = {
            names.REQUEST_ID_HEADER: "crossed"
            if behaviour.crossed
            else metadata.id,
            names.LOAD_HEADER: f"{self._running},{self._waiting},{self.slots}",
        }
        headers.update(self._build_signals())
        if not behaviour.unsigned:
            headers[names.SIGNATURE_HEADER] = f"{self.identity}.{number}"
        if behaviour.cut_short:
            response = web.StreamResponse(headers=headers)
            response.content_length = 1000
            await response.prepare(request)
            await response.write(b"half")
            assert request.transport is not None
            request.transport.close()
            return response
        return web.Response(
            status=500 if is_failure else 200,
            headers=headers,
            body=f"{self.identity} ran {metadata.id}".encode(),
        )

    def _build_signals(self) -> dict[str, str]:
        behaviour = self.behaviour
        signals = {}
        if behaviour.limit:
            signals[names.SERVER_LIMIT_HEADER] = behaviour.limit
        if behaviour.leaving:
            signals[names.SERVER_LEAVING_HEADER] = "1"
        if behaviour.wait and behaviour.shed:
            signals[names.RETRY_AFTER_HEADER] = behaviour.wait
        return signals

    def _choose_time_factor(self, affinity_key: str) -> float:
        if not affinity_key:
            return self.behaviour.warm_factor
        is_warm = affinity_key in self._warm_objects
        self._warm_objects[affinity_key] = None
        self._warm_objects.move_to_end(affinity_key)
        if len(self._warm_objects) > MAX_WARM_OBJECTS:
            self._warm_objects.popitem(last=False)
        return self.behaviour.warm_factor if is_warm else 1.0
