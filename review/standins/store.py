"""The platform's store: items, revisions, leases, watches.

It answers as PROTOCOL.md says. It can cut the watches that wait, and refuse
the calls of a kind that one machine makes.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from typing import Any
import urllib.parse

from . import wire

PAGE_ITEMS = 500
PREFIX = "/cowslipshift/kv-"


class Store:
    """The store; each machine calls it on a port of its own.

    Attributes:
        refused: Calls that get 503, as pairs of machine and kind of call.
        calls: Calls so far, by machine and kind.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.refused: set[tuple[str, str]] = set()
        self.calls: dict[tuple[str, str], int] = {}
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._numbers = itertools.count(77120)
        self._changed = asyncio.Event()
        self._watches: set[asyncio.StreamWriter] = set()
        self._servers: list[asyncio.Server] = []

    async def listen(self, machine: str) -> str:
        """Open a port for a machine and return the address."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write an item and return the new revision."""
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
        self._append(item)
        return self.revision

    def delete(self, key: str) -> None:
        """Remove an item."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "rev": self.revision, "deleted": True})

    def get(self, key: str) -> bytes | None:
        """Return the value of an item."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def list_keys(self, prefix: str) -> list[str]:
        """Return the keys that begin with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def cut_watches(self) -> int:
        """Cut the connections of all watches that wait."""
        count = len(self._watches)
        for writer in self._watches:
            writer.transport.abort()
        return count

    async def run_leases(self) -> None:
        """Remove the keys of leases that end, until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (until_s, _) in list(self._leases.items()):
                if until_s <= now:
                    self._end_lease(lease)
            await asyncio.sleep(0.1)

    def close(self) -> None:
        """Close all ports."""
        for server in self._servers:
            server.close()

    def _append(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.delete(key)

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (request := await wire.read_message(reader)) is not None:
                status, body = await self._answer(machine, request, writer)
                writer.write(
                    wire.build_answer(
                        status,
                        json.dumps(body).encode(),
                        ("Content-Type", "application/json"),
                    )
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        machine: str,
        request: wire.Message,
        writer: asyncio.StreamWriter,
    ) -> tuple[int, Any]:
        method, target = request.start[0], request.start[1]
        path, _, query = target.partition("?")
        asked = {
            key: values[0]
            for key, values in urllib.parse.parse_qs(
                query, keep_blank_values=True
            ).items()
        }
        kind, _, argument = path.removeprefix(PREFIX).partition("/")
        call = (machine, kind)
        self.calls[call] = self.calls.get(call, 0) + 1
        if call in self.refused:
            return 503, {}
        if kind == "range":
            return 200, self._read_range(asked)
        if kind == "watch":
            return await self._watch(asked, writer)
        if kind == "key":
            item = self._items.get(asked["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "store_revision": self.revision}
        if kind == "keep":
            lease = int(argument)
            if lease not in self._leases:
                return 404, {}
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"ttl_ms": int(ttl_s * 1000)}
        if kind == "lease-end" and method == "DELETE":
            if int(argument) not in self._leases:
                return 404, {}
            self._end_lease(int(argument))
            return 200, {}
        body = json.loads(request.body)
        if kind == "lease":
            lease, ttl_s = next(self._numbers), body["ttl_ms"] / 1000
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if kind == "txn":
            return self._commit(body)
        return 404, {}

    def _read_range(self, asked: dict[str, str]) -> Any:
        keys = [
            key
            for key in self.list_keys(asked["prefix"])
            if key > asked.get("after", "")
        ]
        return {
            "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "store_revision": self.revision,
        }

    async def _watch(
        self, asked: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        until_s = time.monotonic() + int(asked["wait_ms"]) / 1000
        self._watches.add(writer)
        try:
            while True:
                events = [
                    event
                    for event in self._history
                    if event["rev"] > int(asked["after"])
                    and event["key"].startswith(asked["prefix"])
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {
                        "events": events,
                        "store_revision": self.revision,
                    }
                changed = self._changed
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except TimeoutError:
                    continue
        finally:
            self._watches.discard(writer)

    def _commit(self, body: Any) -> tuple[int, Any]:
        for row in body.get("expected", []):
            known = self._items.get(row["key"])
            if (known["rev"] if known else 0) != row["rev"]:
                rows = [self._items.get(r["key"]) for r in body["expected"]]
                return 412, {"items": [row for row in rows if row]}
        for row in body.get("writes", []):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        for row in body.get("writes", []):
            value = base64.b64decode(row["value"])
            self.put(row["key"], value, row.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        return 200, {"rev": self.revision}
