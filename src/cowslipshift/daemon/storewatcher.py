"""Watching the store on behalf of all hosts of a data centre."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import facts
from cowslipshift.coordination import hashing
from cowslipshift.daemon import dissemination
from cowslipshift.store import exceptions
from cowslipshift.store import keys
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.config import replica as replicas
    from cowslipshift.store import client as clients

WATCHERS_PER_DATA_CENTRE = 2
"""Number of hosts of each data centre that watch the store."""

MIN_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 5.0
REREAD_INTERVAL_S = 3.0
"""Interval at which a watcher rereads the store, in case its watch stays open
but delivers nothing.
"""

LISTING_FACT = "listed"
"""Kind of the facts taken from the platform's list of hosts."""


class StoreWatcher:
    """Reads and watches the configuration and the platform's list of hosts.

    Args:
        host: Name of this host.
        store: The platform's store.
        config_replica: Receives configurations.
        disseminator: Publishes the facts taken from the list.
        list_live: Returns the live hosts of the data centre.
    """

    def __init__(
        self,
        host: str,
        store: clients.StoreClient,
        config_replica: replicas.ConfigurationReplica,
        disseminator: dissemination.Disseminator,
        list_live: Callable[[], list[str]],
    ) -> None:
        self._host = host
        self._store = store
        self._config_replica = config_replica
        self._disseminator = disseminator
        self._list_live = list_live
        self._log = logs.EventLog("storewatcher")
        self.is_connected = False

    async def read_once(self) -> bool:
        """Read the configuration and the list of hosts.

        Returns:
            Whether the store answered.
        """
        try:
            pair = await self._store.get_key(keys.CONFIGURATION)
            if pair is not None:
                self._handle_value(pair.key, pair.value, pair.mod_revision)
            for pair in await self._store.list_keys(keys.PLATFORM_HOSTS):
                self._handle_value(pair.key, pair.value, pair.mod_revision)
        except exceptions.StoreError as error:
            self._log.info("store_unread", reason=error)
            self.is_connected = False
            return False
        self.is_connected = True
        return True

    def is_watcher(self) -> bool:
        """Tell whether this host watches for its data centre."""
        ranked = hashing.rank_members("store-watch", self._list_live())
        return self._host in ranked[:WATCHERS_PER_DATA_CENTRE]

    async def run_reads(self) -> None:
        """Read at an interval while this host watches, until cancelled."""
        while True:
            await asyncio.sleep(REREAD_INTERVAL_S)
            if self.is_watcher():
                await self.read_once()

    async def run_watch(self, prefix: str) -> None:
        """Watch a prefix while this host is a watcher, until cancelled.

        Args:
            prefix: Prefix of the keys to watch.
        """
        wait_s = MIN_RETRY_DELAY_S
        while True:
            if self.is_watcher():
                try:
                    if await self.read_once():
                        await self._watch(prefix)
                        wait_s = MIN_RETRY_DELAY_S
                except exceptions.StoreError as error:
                    self._log.info("watch_ended", reason=error)
                wait_s = min(MAX_RETRY_DELAY_S, wait_s * 1.5)
            await asyncio.sleep(wait_s)

    async def _watch(self, prefix: str) -> None:
        async for event in self._store.watch_prefix(prefix):
            if not self.is_watcher():
                return
            if event.kv is not None and not event.deleted:
                self._handle_value(
                    event.kv.key, event.kv.value, event.kv.mod_revision
                )

    def _handle_value(self, key: str, value: bytes, mod_revision: int) -> None:
        if key == keys.CONFIGURATION:
            self._config_replica.accept_document(
                value, dissemination.STORE_SOURCE
            )
        elif key.startswith(keys.PLATFORM_HOSTS):
            self._handle_listing(key, value, mod_revision)

    def _handle_listing(
        self, key: str, value: bytes, mod_revision: int
    ) -> None:
        name = key.removeprefix(keys.PLATFORM_HOSTS)
        try:
            entry = msgspec.json.decode(value, type=dict[str, str])
        except msgspec.DecodeError as error:
            self._log.warn("listing_malformed", key=key, reason=error)
            return
        state = entry.get("state", "")
        self._disseminator.publish(
            facts.Fact(LISTING_FACT, name, mod_revision, state)
        )
