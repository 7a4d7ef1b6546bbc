"""A small stand-in for the platform's store (etcd's v3 JSON calls).

It keeps everything in memory and can be told over ``/control`` to be slow,
down, to lose the answers of writes that took effect, to answer rubbish, or
to serve reads from a lagging copy.
"""

from __future__ import annotations

import asyncio
import base64
import collections
import time
from typing import Any

from aiohttp import web
import msgspec

PROGRESS_INTERVAL_S = 5.0
LEASE_CHECK_INTERVAL_S = 0.2
MAX_REQUEST_BYTES = 2 * 1024 * 1024


class Faults(msgspec.Struct):
    """How the store misbehaves.

    Attributes:
        down: Refuse every call.
        delay_ms: Wait before answering each call.
        lose_writes: Number of writes whose answer gets lost.
        rubbish: Answer calls with something that is no JSON.
        stale_reads: Serve reads as of this moment on.
        mute_watches: Open watches stay open and say nothing.
        list_lag_ms: Delay of the list of live and leaving hosts.
    """

    down: bool = False
    delay_ms: float = 0.0
    lose_writes: int = 0
    rubbish: bool = False
    stale_reads: bool = False
    mute_watches: bool = False
    list_lag_ms: float = 0.0


class Item(msgspec.Struct):
    """A stored key."""

    value: str
    create_revision: int
    mod_revision: int
    lease: int | None


class Watch:
    """One waiting watch."""

    __slots__ = ("end", "queue", "start")

    def __init__(self, start: str, end: str) -> None:
        self.start = start
        self.end = end
        self.queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()

    def covers(self, key: str) -> bool:
        """Tell whether the watch wants changes of a key."""
        return _covers(self.start, self.end, key)


class StoreStandIn:
    """The keys, leases and watches, and the handlers of the calls."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes_out = 0
        self._items: dict[str, Item] = {}
        self._stale: dict[str, Item] | None = None
        self._leases: dict[int, tuple[float, int]] = {}
        self._watches: set[Watch] = set()
        self._revision = 1
        self._next_lease = 1000
        self._listing: set[asyncio.Task[None]] = set()

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_REQUEST_BYTES, middlewares=[self._misbehave]
        )
        post = application.router.add_post
        post("/v3/kv/range", self._handle_range)
        post("/v3/kv/put", self._handle_put)
        post("/v3/kv/txn", self._handle_txn)
        post("/v3/lease/grant", self._handle_grant)
        post("/v3/lease/keepalive", self._handle_keepalive)
        post("/v3/lease/revoke", self._handle_revoke)
        post("/v3/watch", self._handle_watch)
        post("/control/faults", self._handle_faults)
        post("/control/hosts", self._handle_hosts)
        application.router.add_get("/control/stats", self._handle_stats)
        application.cleanup_ctx.append(self._run_leases)
        return application

    @web.middleware
    async def _misbehave(
        self, request: web.Request, handler: Any
    ) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await _call_handler(handler, request)
        self.calls[request.path.removeprefix("/v3/")] += 1
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.down:
            return web.Response(status=503, text="unavailable")
        if self.faults.rubbish:
            return web.Response(text="<html>rubbish</html>")
        response = await _call_handler(handler, request)
        is_write = request.path in ("/v3/kv/txn", "/v3/kv/put")
        if is_write and self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            if request.transport is not None:
                request.transport.abort()
        if isinstance(response, web.Response):
            self.bytes_out += len(response.text or "")
        return response

    async def _handle_range(self, request: web.Request) -> web.Response:
        body = await request.json()
        start, end = body["key"], body.get("range_end", "")
        items = self._items
        if self.faults.stale_reads and self._stale is not None:
            items = self._stale
        kvs = [
            _render(key, item)
            for key, item in sorted(items.items())
            if _covers(_decode(start), _decode(end), key)
        ]
        return web.json_response(self._wrap(kvs=kvs, count=str(len(kvs))))

    async def _handle_put(self, request: web.Request) -> web.Response:
        self._apply_put(await request.json())
        return web.json_response(self._wrap())

    async def _handle_txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        succeeded = all(
            self._compare(compare) for compare in body.get("compare", [])
        )
        for operation in body.get("success" if succeeded else "failure", []):
            if "request_put" in operation:
                self._apply_put(operation["request_put"])
            elif "request_delete_range" in operation:
                self._delete(_decode(operation["request_delete_range"]["key"]))
        return web.json_response(self._wrap(succeeded=succeeded))

    def _compare(self, compare: dict[str, Any]) -> bool:
        item = self._items.get(_decode(compare["key"]))
        if compare.get("target") == "CREATE":
            actual = item.create_revision if item else 0
            return actual == int(compare.get("create_revision", 0))
        actual = item.mod_revision if item else 0
        return actual == int(compare.get("mod_revision", 0))

    def _apply_put(self, put: dict[str, Any]) -> None:
        lease = int(put["lease"]) if put.get("lease") else None
        self.put_key(_decode(put["key"]), put.get("value", ""), lease)

    def put_key(self, key: str, value: str, lease: int | None = None) -> None:
        """Write a key and tell the watches.

        Args:
            key: The key.
            value: Its value in base64.
            lease: Lease that the key ends with.
        """
        self._revision += 1
        known = self._items.get(key)
        item = Item(
            value=value,
            create_revision=known.create_revision if known else self._revision,
            mod_revision=self._revision,
            lease=lease,
        )
        self._items[key] = item
        self._tell_watches(key, {"kv": _render(key, item)})

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        kv = {
            "key": _encode(key),
            "mod_revision": str(self._revision),
        }
        self._tell_watches(key, {"type": "DELETE", "kv": kv})

    def _tell_watches(self, key: str, event: dict[str, Any]) -> None:
        for watch in self._watches:
            if watch.covers(key):
                watch.queue.put_nowait(self._wrap(events=[event]))

    async def _handle_grant(self, request: web.Request) -> web.Response:
        ttl = int((await request.json())["TTL"])
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + ttl, ttl)
        return web.json_response(
            self._wrap(ID=str(self._next_lease), TTL=str(ttl))
        )

    async def _handle_keepalive(self, request: web.Request) -> web.Response:
        lease = int((await request.json())["ID"])
        if lease not in self._leases:
            return web.json_response(
                {"result": self._wrap(ID=str(lease), TTL="0")}
            )
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response(
            {"result": self._wrap(ID=str(lease), TTL=str(ttl))}
        )

    async def _handle_revoke(self, request: web.Request) -> web.Response:
        self._end_lease(int((await request.json())["ID"]))
        return web.json_response(self._wrap())

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i.lease == lease]:
            self._delete(key)

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        create = (await request.json())["create_request"]
        watch = Watch(
            _decode(create["key"]), _decode(create.get("range_end", ""))
        )
        response = web.StreamResponse()
        await response.prepare(request)
        self._watches.add(watch)
        try:
            await self._send_line(response, self._wrap(created=True))
            while not self.faults.down:
                await self._send_next(response, watch)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._watches.discard(watch)
        return response

    async def _send_next(
        self, response: web.StreamResponse, watch: Watch
    ) -> None:
        try:
            line = await asyncio.wait_for(
                watch.queue.get(), PROGRESS_INTERVAL_S
            )
        except TimeoutError:
            line = self._wrap()
        if not self.faults.mute_watches and not self.faults.down:
            await self._send_line(response, line)

    async def _send_line(
        self, response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        raw = msgspec.json.encode({"result": result}) + b"\n"
        self.bytes_out += len(raw)
        await response.write(raw)

    async def _handle_faults(self, request: web.Request) -> web.Response:
        known = msgspec.to_builtins(self.faults)
        known.update(await request.json())
        if known["stale_reads"] and not self.faults.stale_reads:
            self._stale = dict(self._items)
        self.faults = msgspec.convert(known, Faults)
        return web.json_response(msgspec.to_builtins(self.faults))

    async def _handle_hosts(self, request: web.Request) -> web.Response:
        body = await request.json()
        task = asyncio.create_task(self._list_host(body["name"], body))
        self._listing.add(task)
        task.add_done_callback(self._listing.discard)
        return web.json_response({})

    async def _list_host(self, name: str, entry: dict[str, Any]) -> None:
        await asyncio.sleep(self.faults.list_lag_ms / 1000)
        value = base64.b64encode(msgspec.json.encode(entry)).decode()
        self.put_key(f"/platform/hosts/{name}", value)

    async def _handle_stats(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": dict(self.calls),
                "watches": len(self._watches),
                "bytes_out": self.bytes_out,
                "revision": self._revision,
            }
        )

    async def _run_leases(self, application: web.Application) -> Any:
        async def check() -> None:
            while True:
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
                now = time.monotonic()
                for lease, (until, _) in list(self._leases.items()):
                    if until <= now:
                        self._end_lease(lease)

        task = asyncio.create_task(check())
        yield
        task.cancel()

    def _wrap(self, **fields: Any) -> dict[str, Any]:
        return {"header": {"revision": str(self._revision)}, **fields}


async def _call_handler(
    handler: Any, request: web.Request
) -> web.StreamResponse:
    response: web.StreamResponse = await handler(request)
    return response


def _covers(start: str, end: str, key: str) -> bool:
    if not end:
        return key == start
    return start <= key < end


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _render(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": _encode(key),
        "value": item.value,
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
    }
