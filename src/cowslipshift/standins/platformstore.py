"""Stand-in for a platform's key-value store with revisions, leases, watches.

It keeps its state in memory. Tests can make it unavailable, slow or silent,
make it refuse callers, lose the answers of writes that took effect, answer
with invalid JSON, cut watches, or compact its history.
"""

from __future__ import annotations

import asyncio
import base64
import collections
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift.platform import names

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cowslipshift import clock as clocks

PAGE_ITEMS = 50
LEASE_CHECK_INTERVAL_S = 0.1


class Faults(msgspec.Struct):
    """Faults that the store injects.

    Attributes:
        status: Status code that each call gets instead of its answer; 0 for
            none.
        silent: Never answer.
        delay_s: Delay before each answer.
        lose_writes: Number of writes whose answer gets lost.
        rubbish: Answer with a body that is not JSON.
        mute_watches: Watches report no events.
        refused_ports: Ports of the store whose callers get 503.
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    lose_writes: int = 0
    rubbish: bool = False
    mute_watches: bool = False
    refused_ports: tuple[int, ...] = ()


class PlatformStoreStandIn:
    """Items, their history, and the HTTP handlers of the store.

    Args:
        clock: Clock that leases expire by.
        era: Era that its answers state; 0 to state none.
    """

    def __init__(self, clock: clocks.Clock, era: int = 1) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.revision = 1
        self._clock = clock
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._changed = asyncio.Event()
        self._watches: dict[int, web.Request] = {}
        self.era = era
        self._copy = self._copy_state()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item, without the access checks of transactions.

        Args:
            key: The key.
            value: The value.
            lease: Id of the lease that the item expires with; 0 for none.

        Returns:
            The new revision of the store.
        """
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._append_event(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append_event(
                {"key": key, "rev": self.revision, "deleted": True}
            )

    def get(self, key: str) -> bytes | None:
        """Return the value of an item, or ``None``."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def get_lease(self, key: str) -> int:
        """Return the lease of an item; 0 for none."""
        item = self._items.get(key)
        lease: int = 0 if item is None else item["lease"]
        return lease

    def list_page(
        self, prefix: str, after: str
    ) -> tuple[list[dict[str, Any]], bool]:
        """Return the items of one page, and whether there are more.

        Args:
            prefix: Prefix of the keys.
            after: Last key of the page before; empty for the first page.
        """
        keys = sorted(
            key
            for key in self._items
            if key.startswith(prefix) and key > after
        )
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        return items, len(keys) > PAGE_ITEMS

    async def wait_for_events(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[list[dict[str, Any]], int] | None:
        """Wait until something changes after a revision.

        Returns:
            The changes, none if the time has passed, and the revision up to
            which they are complete; ``None`` if the history is compacted.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_s
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return None
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline_s - loop.time()
            is_muted = self.faults.mute_watches
            if (events and not is_muted) or remaining_s <= 0:
                return ([], after) if is_muted else (events, self.revision)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        lease = self.revision * 1000 + len(self._leases) + 1
        self._leases[lease] = (self._clock.now() + ttl_s, ttl_s)
        return lease

    def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        if lease not in self._leases:
            return False
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (self._clock.now() + ttl_s, ttl_s)
        return True

    def compact_history(self) -> None:
        """Drop the history; watches from before this revision get 410."""
        self._history.clear()
        self._compacted_revision = self.revision

    def cut_watches(self) -> None:
        """Close the connections of the watches that are waiting."""
        for request in self._watches.values():
            if request.transport is not None:
                request.transport.close()

    def copy_state(self) -> None:
        """Keep a copy of what the store holds now."""
        self._copy = self._copy_state()

    def come_back(self) -> None:
        """Go back to the copy, which begins another era.

        Revisions that were given out since are given out again.
        """
        self.revision, self._items, self._history, self._leases = self._copy
        self._copy = self._copy_state()
        self._compacted_revision = min(self._compacted_revision, self.revision)
        self.era += 1
        self.cut_watches()

    def _copy_state(
        self,
    ) -> tuple[
        int,
        dict[str, dict[str, Any]],
        list[dict[str, Any]],
        dict[int, tuple[float, float]],
    ]:
        # Items and events are replaced, never changed.
        return (
            self.revision,
            dict(self._items),
            list(self._history),
            dict(self._leases),
        )

    def build_application(self) -> web.Application:
        """Return the HTTP application."""
        application = web.Application()
        router = application.router
        router.add_get(
            names.RANGE_PATH, self._inject_faults(self._serve_range)
        )
        router.add_get(
            names.WATCH_PATH, self._inject_faults(self._serve_watch)
        )
        router.add_post(names.TXN_PATH, self._inject_faults(self._serve_txn))
        router.add_post(
            names.LEASE_GRANT_PATH,
            self._inject_faults(self._serve_lease_grant),
        )
        router.add_post(
            names.LEASE_RENEW_PATH + "/{lease}",
            self._inject_faults(self._serve_lease_renewal),
        )
        router.add_delete(
            names.LEASE_REVOKE_PATH + "/{lease}",
            self._inject_faults(self._serve_lease_revocation),
        )
        return application

    async def run_leases(self) -> None:
        """Revoke leases that have expired, until cancelled."""
        while True:
            now = self._clock.now()
            for lease, (expires_s, _) in list(self._leases.items()):
                if expires_s <= now:
                    self._revoke_lease(lease)
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)

    def _inject_faults(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            self.calls[request.path.split("/")[2]] += 1
            faults = self.faults
            if faults.silent:
                await asyncio.sleep(3600)
            if faults.delay_s:
                await asyncio.sleep(faults.delay_s)
            if (
                faults.status
                or _get_local_port(request) in faults.refused_ports
            ):
                return web.Response(status=faults.status or 503)
            if faults.rubbish:
                return web.Response(body=b"<html>")
            response = await handler(request)
            if self.era:
                response.headers[names.STORE_ERA_HEADER] = str(self.era)
            if faults.lose_writes and request.method == "POST":
                faults.lose_writes -= 1
                if request.transport is not None:
                    request.transport.close()
            return response

        return handle

    async def _serve_range(self, request: web.Request) -> web.Response:
        items, has_more = self.list_page(
            request.query["prefix"], request.query.get("after", "")
        )
        return web.json_response(
            {
                "items": items,
                "has_more": has_more,
                "store_revision": self.revision,
            }
        )

    async def _serve_watch(self, request: web.Request) -> web.Response:
        self._watches[id(request)] = request
        try:
            found = await self.wait_for_events(
                request.query["prefix"],
                int(request.query["after"]),
                int(request.query["wait_ms"]) / 1000.0,
            )
        finally:
            del self._watches[id(request)]
        if found is None:
            return web.Response(status=410)
        events, revision = found
        return web.json_response(
            {"events": events, "store_revision": revision}
        )

    async def _serve_txn(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body.get("expected", []):
            known = self._items.get(row["key"])
            if (known["rev"] if known else 0) != row["rev"]:
                return web.json_response({"items": []}, status=412)
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return web.Response(status=403)
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return web.Response(status=404)
        for row in body.get("writes", []):
            self.put(
                row["key"],
                base64.b64decode(row["value"]),
                row.get("lease", 0),
            )
        for key in body.get("deletes", []):
            self.delete(key)
        return web.json_response({"rev": self.revision})

    async def _serve_lease_grant(self, request: web.Request) -> web.Response:
        ttl_ms = (await request.json())["ttl_ms"]
        lease = self.grant_lease(ttl_ms / 1000.0)
        return web.json_response({"lease": lease, "ttl_ms": ttl_ms})

    async def _serve_lease_renewal(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["lease"])
        if not self.renew_lease(lease):
            return web.Response(status=404)
        ttl_s = self._leases[lease][1]
        return web.json_response({"ttl_ms": int(ttl_s * 1000)})

    async def _serve_lease_revocation(
        self, request: web.Request
    ) -> web.Response:
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return web.Response(status=404)
        self._revoke_lease(lease)
        return web.json_response({})

    def _revoke_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.delete(key)

    def _append_event(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _get_local_port(request: web.Request) -> int:
    if request.transport is None:
        return 0
    port: int = request.transport.get_extra_info("sockname")[1]
    return port
