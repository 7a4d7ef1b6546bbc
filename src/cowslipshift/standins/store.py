"""Stand-in for the platform's store, with the JSON API of etcd v3.

It keeps its state in memory. Faults set over ``/control`` make it slow or
unavailable, make it lose the answers of writes that took effect, answer with
invalid JSON, or serve stale reads.
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
    """Faults that the store injects.

    Attributes:
        down: Answer every call with 503.
        delay_ms: Delay before answering each call.
        lose_writes: Number of writes whose answer gets lost.
        rubbish: Answer calls with a body that is not JSON.
        stale_reads: Serve reads from a snapshot taken when this is set.
        mute_watches: Keep watches open and send nothing on them.
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
    """Value and metadata of a key."""

    value: str
    create_revision: int
    mod_revision: int
    lease: int | None


class Watch:
    """One open watch on a range of keys."""

    __slots__ = ("end", "queue", "start")

    def __init__(self, start: str, end: str) -> None:
        self.start = start
        self.end = end
        self.queue: asyncio.Queue[dict[str, Any]] = asyncio.Queue()

    def covers(self, key: str) -> bool:
        """Return whether the watched range contains a key."""
        return _is_in_range(self.start, self.end, key)


class StoreStandIn:
    """Keys, leases, watches, and the HTTP handlers of the store."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes_out = 0
        self._items: dict[str, Item] = {}
        self._stale_items: dict[str, Item] | None = None
        self._leases: dict[int, tuple[float, int]] = {}
        self._watches: set[Watch] = set()
        self._revision = 1
        self._next_lease = 1000
        self._listing_tasks: set[asyncio.Task[None]] = set()

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application(
            client_max_size=MAX_REQUEST_BYTES,
            middlewares=[self._inject_faults],
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
        application.cleanup_ctx.append(self._run_lease_expiry)
        return application

    @web.middleware
    async def _inject_faults(
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
        if self.faults.stale_reads and self._stale_items is not None:
            items = self._stale_items
        kvs = [
            _encode_item(key, item)
            for key, item in sorted(items.items())
            if _is_in_range(_decode(start), _decode(end), key)
        ]
        return web.json_response(
            self._build_result(kvs=kvs, count=str(len(kvs)))
        )

    async def _handle_put(self, request: web.Request) -> web.Response:
        self._apply_put(await request.json())
        return web.json_response(self._build_result())

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
        return web.json_response(self._build_result(succeeded=succeeded))

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
        """Write a key and notify the watches.

        Args:
            key: The key.
            value: The value, in base64.
            lease: Id of the lease that the key expires with.
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
        self._notify_watches(key, {"kv": _encode_item(key, item)})

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        kv = {
            "key": _encode(key),
            "mod_revision": str(self._revision),
        }
        self._notify_watches(key, {"type": "DELETE", "kv": kv})

    def _notify_watches(self, key: str, event: dict[str, Any]) -> None:
        for watch in self._watches:
            if watch.covers(key):
                watch.queue.put_nowait(self._build_result(events=[event]))

    async def _handle_grant(self, request: web.Request) -> web.Response:
        ttl = int((await request.json())["TTL"])
        self._next_lease += 1
        self._leases[self._next_lease] = (time.monotonic() + ttl, ttl)
        return web.json_response(
            self._build_result(ID=str(self._next_lease), TTL=str(ttl))
        )

    async def _handle_keepalive(self, request: web.Request) -> web.Response:
        lease = int((await request.json())["ID"])
        if lease not in self._leases:
            return web.json_response(
                {"result": self._build_result(ID=str(lease), TTL="0")}
            )
        ttl = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl, ttl)
        return web.json_response(
            {"result": self._build_result(ID=str(lease), TTL=str(ttl))}
        )

    async def _handle_revoke(self, request: web.Request) -> web.Response:
        self._revoke_lease(int((await request.json())["ID"]))
        return web.json_response(self._build_result())

    def _revoke_lease(self, lease: int) -> None:
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
            await self._send_line(response, self._build_result(created=True))
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
            line = self._build_result()
        if not self.faults.mute_watches and not self.faults.down:
            await self._send_line(response, line)

    async def _send_line(
        self, response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        raw = msgspec.json.encode({"result": result}) + b"\n"
        self.bytes_out += len(raw)
        await response.write(raw)

    async def _handle_faults(self, request: web.Request) -> web.Response:
        faults = msgspec.to_builtins(self.faults)
        faults.update(await request.json())
        if faults["stale_reads"] and not self.faults.stale_reads:
            self._stale_items = dict(self._items)
        self.faults = msgspec.convert(faults, Faults)
        return web.json_response(msgspec.to_builtins(self.faults))

    async def _handle_hosts(self, request: web.Request) -> web.Response:
        body = await request.json()
        task = asyncio.create_task(self._list_host(body["name"], body))
        self._listing_tasks.add(task)
        task.add_done_callback(self._listing_tasks.discard)
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

    async def _run_lease_expiry(self, application: web.Application) -> Any:
        async def revoke_expired() -> None:
            while True:
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
                now = time.monotonic()
                for lease, (expires_s, _) in list(self._leases.items()):
                    if expires_s <= now:
                        self._revoke_lease(lease)

        task = asyncio.create_task(revoke_expired())
        yield
        task.cancel()

    def _build_result(self, **fields: Any) -> dict[str, Any]:
        return {"header": {"revision": str(self._revision)}, **fields}


async def _call_handler(
    handler: Any, request: web.Request
) -> web.StreamResponse:
    response: web.StreamResponse = await handler(request)
    return response


def _is_in_range(start: str, end: str, key: str) -> bool:
    if not end:
        return key == start
    return start <= key < end


def _decode(text: str) -> str:
    return base64.b64decode(text).decode()


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _encode_item(key: str, item: Item) -> dict[str, Any]:
    return {
        "key": _encode(key),
        "value": item.value,
        "create_revision": str(item.create_revision),
        "mod_revision": str(item.mod_revision),
    }
