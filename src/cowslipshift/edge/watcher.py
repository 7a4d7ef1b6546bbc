"""Follows the store, directly or through hosts that follow it.

In each region one host, by rank, watches the store; the others ask a host
that tells of a newer revision, a near one if they can. A host that hears of
none, or gets no answer, reads the store itself.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp

from cowslipshift.coordination import hashing
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.edge import replica as replicas
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import overlay as overlays

WATCH_WAIT_S = 2.0
"""Bounds how long a watch that went silent for good goes unnoticed."""

BATCH_PAUSE_S = 0.15
"""Pause between two watches, so that changes in a row cost one call."""

IDLE_POLL_INTERVAL_S = 0.2
STORE_RETRY_DELAY_S = 0.3
PEER_TIMEOUT_S = 0.6
STORE_LOSS_MEMORY_S = 3.0
"""How long a host that could not reach the store is taken to be without."""

ALL_KEYS = ""


class Watcher:
    """Keeps the view up to date.

    Args:
        clock: Source of the present time.
        store: The platform's store.
        presence: Which hosts are alive.
        overlay: Which of them to ask.
        session: HTTP session to ask other hosts with.
        on_change: Told of each item that changed.
        on_store_failure: Told that the store is away.
        on_revision: Told that the view reached another revision.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: interface.RevisionedStore,
        presence: memberships.Membership,
        overlay: overlays.Overlay,
        session: aiohttp.ClientSession,
        on_change: Callable[[interface.Item], None],
        on_store_failure: Callable[[], None],
        on_revision: Callable[[], None],
    ) -> None:
        self.replica = replicas.StoreReplica()
        self.is_store_reachable = False
        self._clock = clock
        self._store = store
        self._presence = presence
        self._overlay = overlay
        self._session = session
        self._on_change = on_change
        self._on_store_failure = on_store_failure
        self._on_revision = on_revision
        self._needs_whole = True
        self._is_pulling = False
        self._peer_stores: dict[str, bool] = {}
        self._peer_revisions: dict[str, int] = {}
        self._behind_since_s: float | None = None
        self._log = logs.EventLog("watcher")

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            if not self._needs_whole and not self.is_watching:
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
                continue
            try:
                await self._follow_once()
            except store_exceptions.HistoryGoneError:
                self._log.info("history_gone", revision=self.replica.revision)
                self._needs_whole = True
            except store_exceptions.StoreError as error:
                self._lose_store(error)
                await asyncio.sleep(STORE_RETRY_DELAY_S)

    def request_reread(self) -> None:
        """Read everything anew, for what is known may be old."""
        self._needs_whole = True

    def record_heartbeat(self, word: messages.Heartbeat) -> None:
        """Learn from another host how far it is."""
        self._peer_stores[word.host] = word.is_store_reachable
        self._peer_revisions[word.host] = word.revision
        if word.revision > self.replica.revision:
            self._catch_up()

    def _catch_up(self) -> None:
        """Ask another host for what is new, if one is to be asked now."""
        now = self._clock.now()
        if self._behind_since_s is None:
            self._behind_since_s = now
        if self._is_pulling:
            return
        source = self._overlay.choose_source(
            self._peer_revisions,
            self.replica.revision,
            now - self._behind_since_s,
            now,
        )
        if source is not None:
            self._is_pulling = True
            asyncio.ensure_future(self._pull(source))

    def record_store_result(
        self, has_answered: bool, reason: object = ""
    ) -> None:
        """Learn from another call whether the store answers."""
        if has_answered:
            self._regain_store()
        else:
            self._lose_store(reason)

    @property
    def is_watching(self) -> bool:
        """Whether this host is the one of its region that watches."""
        now = self._clock.now()
        own = self._presence.own
        names = {own.name}
        for member in self._presence.list_usable(now):
            is_store_reachable = self._peer_stores.get(member.name, False)
            if member.region == own.region and is_store_reachable:
                names.add(member.name)
        # Speakers are heard in the other data centres soonest.
        speakers = names & self._overlay.list_relays(own.region, now)
        ranked = hashing.rank_members(f"watch|{own.region}", speakers or names)
        return ranked[0] == own.name

    async def _follow_once(self) -> None:
        if self._needs_whole:
            whole = await self._store.read_prefix(ALL_KEYS)
            self._needs_whole = False
            self._regain_store()
            self._tell(
                self.replica.apply_snapshot(whole.items, whole.revision)
            )
            self._log.info("view_read", revision=whole.revision)
            return
        found = await self._store.watch_prefix(
            ALL_KEYS, self.replica.revision, WATCH_WAIT_S
        )
        self._regain_store()
        self._tell(self.replica.apply_changes(found.items, found.revision))
        if found.items:
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _pull(self, host: str) -> None:
        member = next(
            (m for m in self._presence.list_peers() if m.name == host), None
        )
        try:
            if member is not None:
                found = await self._ask(member.internal_address)
                self._take(found, host)
        except exceptions.PeerError as error:
            self._log.warn("peer_silent", peer=host, reason=error.message)
            # Until it speaks again others are asked, however near it was.
            self._peer_revisions.pop(host, None)
            self._needs_whole = True
        finally:
            self._is_pulling = False

    def _take(self, found: messages.Changes, host: str) -> None:
        if found.revision <= self.replica.revision:
            return
        if found.is_snapshot:
            news = self.replica.apply_snapshot(found.items, found.revision)
        else:
            news = self.replica.apply_changes(found.items, found.revision)
        self._log.debug("pulled", peer=host, revision=found.revision)
        self._tell(news)

    async def _ask(self, address: str) -> messages.Changes:
        try:
            async with self._session.get(
                f"http://{address}/changes",
                params={"after": str(self.replica.revision)},
                timeout=aiohttp.ClientTimeout(total=PEER_TIMEOUT_S),
            ) as response:
                raw = await response.read()
                if response.status != 200:
                    raise exceptions.PeerError(
                        f"a host answered {response.status}"
                    )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.PeerError(repr(error)) from error
        return messages.decode_changes(raw)

    def _tell(self, news: list[interface.Item]) -> None:
        self._behind_since_s = None
        for item in news:
            self._on_change(item)
        if news:
            self._on_revision()

    def _lose_store(self, reason: object) -> None:
        self._on_store_failure()
        if self.is_store_reachable:
            self._log.warn("store_lost", reason=reason)
        self.is_store_reachable = False

    def _regain_store(self) -> None:
        if not self.is_store_reachable:
            self._log.info("store_reached", revision=self.replica.revision)
        self.is_store_reachable = True
