"""Keeps a host's replica of the store up to date.

In each region one host, chosen by rendezvous hashing, watches the store. The
others fetch changes from a host whose heartbeat reports a newer revision,
preferably a near one. A host that hears of none watches the store itself; one
that gets no answer asks the store once for what came after its revision, and
other hosts meanwhile.

That a host hears of nothing new does not mean that there is nothing: whoever
should tell it may be gone, or wait on a connection that is silent. A host
whose replica has not been proven current for some time watches the store
itself until it has.
"""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing
from cowslipshift.edge import consultation
from cowslipshift.edge import exceptions
from cowslipshift.edge import replica as replicas
from cowslipshift.steering import freshness
from cowslipshift.steering import inventory
from cowslipshift.steering import storecontact
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cowslipshift import clock as clocks
    from cowslipshift.edge import messages
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model
    from cowslipshift.steering import overlay as overlays

MAX_AGE_BOUND_FRACTION = 0.6
"""Fraction of the time within which a change has to be in force, for which a
replica may be without proof of being current; the rest is for the reading."""

DEFAULT_MAX_AGE_S = 1.2
"""Without proof for this long, a host watches the store itself."""

CURRENT_AGES = 1.5
"""Multiple of that time after which a replica no longer counts as recent: a
change that has to be in force by then may be missing from it."""

WATCH_WAIT_FRACTION = 0.5
"""Fraction of that time after which a watch without changes ends, which is a
proof."""

BATCH_PAUSE_S = 0.15
"""Pause between two watch calls, so that one call gets a burst of changes."""

IDLE_POLL_INTERVAL_S = 0.1
SOURCE_POLL_INTERVAL_S = 0.1
RESTORATION_S = inventory.STORE_RECOVERY_S
"""How long after the store has come back from a copy what others wrote may be
written again, as after an outage."""

CONSULTATION_INTERVAL_S = 0.4
"""Pause between two questions of a host that knows the store's copy only."""

STORE_RETRY_DELAY_S = 0.3
ALL_KEYS = ""


class ChangeClient(consultation.KnowledgeClient, Protocol):
    """Fetches changes in the store from other hosts."""

    async def fetch_changes(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        """Fetch what changed in the store after a position.

        Raises:
            PeerError: The other host gave no valid answer in time.
        """


class Watcher:
    """Follows the store and applies its changes to the replica.

    Args:
        clock: Source of the present time.
        store: The platform's store.
        membership: Tells which hosts are alive.
        overlay: Chooses the host to fetch changes from.
        client: Fetches changes from other hosts.
        on_change: Called with each item that changed; returns whether it is
            outdated.
        on_store_outage: Called each time a call to the store fails during an
            outage.
        on_revision: Called when changes were applied to the replica.
        on_era: Called before the first items of an era are applied, with the
            era and whether the host has followed an earlier one.
        may_be_restored: Tells what the replica holds back then.
        find_hosts: Finds the hosts that are registered among items.
        max_age_s: Time without proof of being current after which the host
            watches the store itself.

    Attributes:
        replica: This host's replica of the store.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        store: interface.RevisionedStore,
        membership: memberships.Membership,
        overlay: overlays.Overlay,
        client: ChangeClient,
        on_change: Callable[[interface.Item], bool],
        on_store_outage: Callable[[], None],
        on_revision: Callable[[], None],
        max_age_s: float = DEFAULT_MAX_AGE_S,
        on_era: Callable[[int, bool], None] = lambda era, has_earlier: None,
        may_be_restored: Callable[
            [interface.Item, interface.Item], bool
        ] = lambda known, stored: True,
        find_hosts: Callable[
            [Iterable[interface.Item]], list[model.Member]
        ] = lambda items: [],
    ) -> None:
        self.replica = replicas.StoreReplica(on_change, may_be_restored)
        self._clock = clock
        self._store = store
        self._membership = membership
        self._overlay = overlay
        self._client = client
        self._on_store_outage = on_store_outage
        self._on_revision = on_revision
        self._on_era = on_era
        self._find_hosts = find_hosts
        self._consultation = consultation.Consultation(membership, client)
        self._held_until_s: float | None = None
        self._max_age_s = max_age_s
        self._needs_snapshot = True
        self._needs_changes = False
        self._is_fetching = False
        self._peers_reaching_store: dict[str, bool] = {}
        self._peer_positions: dict[str, interface.Position] = {}
        self._behind_since_s: float | None = None
        self._freshness = freshness.Freshness()
        self._contact = storecontact.StoreContact()
        self._log = logs.EventLog("watcher")

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            started_s = self._clock.now()
            if not self._should_call_store(started_s):
                await asyncio.sleep(IDLE_POLL_INTERVAL_S)
                continue
            try:
                await self._read_or_watch()
            except store_exceptions.HistoryGoneError:
                self.record_store_answer()
                self._log.info("history_gone", revision=self.replica.revision)
                self._needs_snapshot = True
            except store_exceptions.StoreError as error:
                now = self._clock.now()
                self._log.notice(
                    "store_call_failed",
                    reason=error,
                    took_ms=(now - started_s) * 1000,
                    revision=self.replica.revision,
                    replica_age_s=self.measure_age(now),
                )
                self.record_store_failure(error, started_s)
                await asyncio.sleep(STORE_RETRY_DELAY_S)

    async def run_consultation(self) -> None:
        """Ask other hosts while this one knows the store's copy only.

        Those that the store has lost register again within a second or so.
        """
        while True:
            await asyncio.sleep(CONSULTATION_INTERVAL_S)
            if self.replica.is_informed:
                continue
            found = await self._consultation.ask((), interface.Position())
            if found is None or found.era != self.replica.era:
                continue
            changed = self.replica.adopt_snapshot(found)
            if not self.replica.is_informed:
                continue
            self._log.warn(
                "knowledge_adopted",
                era=found.era,
                revision=found.revision,
                changed=len(changed),
                held=",".join(self.replica.held_keys),
            )
            self._notify(changed)

    @property
    def is_store_reachable(self) -> bool:
        """Whether the store answers, as far as its last calls tell."""
        return self._contact.is_reachable

    def request_changes(self) -> None:
        """Ask the store for what has changed."""
        self._needs_changes = True

    def request_reread(self) -> None:
        """Read all items again, as the replica may be out of date."""
        self._needs_snapshot = True
        self._freshness.reset()

    def record_era(self, era: int) -> None:
        """Record that the store has stated an era.

        A replica of an earlier one is out of date, whatever its revision.
        """
        if self.replica.revision and era > self.replica.era:
            self.request_reread()

    def release_held(self, now: float) -> None:
        """Apply what was held back in this era, once its time has passed.

        What no host has written again by then is gone, so that the replica has
        all that is known.
        """
        if self._held_until_s is None or now < self._held_until_s:
            return
        self._held_until_s = None
        self.replica.is_informed = True
        released = self.replica.release_held()
        self._log.info(
            "held_released",
            era=self.replica.era,
            keys=",".join(item.key for item in released),
        )

    def record_proof(
        self, position: interface.Position, as_of_s: float
    ) -> None:
        """Record that the store was at a position, and no later one.

        Args:
            position: The position.
            as_of_s: Time at which it was proven.
        """
        self._freshness.record_proof(position, as_of_s, self.replica.position)

    def measure_age(self, now: float) -> float:
        """Return the seconds since the replica was last proven current."""
        return self._freshness.measure_age(now)

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Record the store revision that another host has reached.

        Starts fetching changes if that host is ahead of this one.
        """
        self._peers_reaching_store[heartbeat.host] = (
            heartbeat.is_store_reachable
        )
        self._peer_positions[heartbeat.host] = heartbeat.position
        if heartbeat.position > self.replica.position:
            self._start_catching_up()

    def _start_catching_up(self) -> None:
        if self._is_fetching:
            return
        self._is_fetching = True
        if self._behind_since_s is None:
            self._behind_since_s = self._clock.now()
        asyncio.ensure_future(self._catch_up())

    async def _catch_up(self) -> None:
        """Fetch changes until no host that can be asked is ahead."""
        try:
            while ahead := self._list_ahead():
                now = self._clock.now()
                source = self._overlay.choose_source(
                    ahead, self.measure_behind(now), now
                )
                if source is None:
                    await asyncio.sleep(SOURCE_POLL_INTERVAL_S)
                else:
                    await self._fetch_from(source)
        finally:
            self._is_fetching = False

    def _list_ahead(self) -> list[model.Member]:
        """Return the hosts that have reported a later position."""
        found = (
            self._membership.find_member(name)
            for name, position in self._peer_positions.items()
            if position > self.replica.position
        )
        return [member for member in found if member is not None]

    def record_store_answer(self) -> None:
        """Record that a call to the store was answered."""
        if not self._contact.is_reachable:
            self._log.info("store_reached", revision=self.replica.revision)
        self._contact.record_answer()

    def record_store_failure(self, reason: object, started_s: float) -> None:
        """Record that a call to the store failed.

        Args:
            reason: Why, for the log.
            started_s: When the call was begun.
        """
        was_reachable = self._contact.is_reachable
        if not self._contact.record_failure(started_s, self._clock.now()):
            return
        if was_reachable:
            self._log.warn("store_lost", reason=reason)
        self._on_store_outage()

    def is_current(self, now: float) -> bool:
        """Tell whether the replica was proven to be current lately."""
        return self.measure_age(now) <= CURRENT_AGES * self._max_age_s

    def measure_behind(self, now: float) -> float:
        """Return for how long a newer revision has been known of.

        Every change that is applied starts the time again.
        """
        if self._behind_since_s is None:
            return 0.0
        return now - self._behind_since_s

    @property
    def is_watching(self) -> bool:
        """Whether this host watches the store on behalf of its region."""
        now = self._clock.now()
        own = self._membership.own
        names = {own.name}
        for member in self._membership.list_usable(now):
            is_store_reachable = self._peers_reaching_store.get(
                member.name, False
            )
            if member.region == own.region and is_store_reachable:
                names.add(member.name)
        # Relays are preferred, as their heartbeats reach the other data
        # centres first.
        relays = names & self._overlay.list_relays(own.region, now)
        ranked = hashing.rank_members(f"watch|{own.region}", relays or names)
        return ranked[0] == own.name

    def _should_call_store(self, now: float) -> bool:
        return (
            self._needs_snapshot
            or self._needs_changes
            or self._contact.is_suspected
            or self.measure_age(now) > self._max_age_s
            or self.is_watching
        )

    async def _read_or_watch(self) -> None:
        if self._needs_snapshot:
            started_s = self._clock.now()
            snapshot = await self._store.read_prefix(ALL_KEYS)
            self._needs_snapshot = False
            self.record_store_answer()
            self._log.info(
                "view_read",
                revision=snapshot.revision,
                items=len(snapshot.items),
                newest=max((i.revision for i in snapshot.items), default=0),
                took_ms=(self._clock.now() - started_s) * 1000,
            )
            if snapshot.era > self.replica.era:
                await self._hear_others(snapshot)
            self._apply_snapshot(snapshot.items, snapshot.position)
            self.record_proof(snapshot.position, started_s)
            return
        self._needs_changes = False
        # A watch that waits may be cut; one that does not tells at once
        # whether the store answers.
        wait_s = (
            0.0
            if self._contact.is_suspected
            else self._max_age_s * WATCH_WAIT_FRACTION
        )
        found = await self._store.watch_prefix(
            ALL_KEYS, self.replica.revision, wait_s
        )
        self.record_store_answer()
        if found.era > self.replica.era:
            # Its revisions are not those that the watch has asked for.
            self.request_reread()
            return
        self._notify(
            self.replica.apply_changes(found.items, found.revision, found.era)
        )
        self.record_proof(found.position, self._clock.now())
        if found.items:
            await asyncio.sleep(BATCH_PAUSE_S)

    async def _hear_others(self, snapshot: interface.Snapshot) -> None:
        """Learn what other hosts know, as the store may have lost it.

        Args:
            snapshot: What the store holds, in an era that is new to this host.
        """
        found = await self._consultation.ask(
            self._find_hosts(snapshot.items), self.replica.position
        )
        if found is not None:
            self._apply_fetched(found)
        if not self.replica.revision:
            self.replica.is_informed = False
            self._log.warn(
                "copy_unconfirmed",
                era=snapshot.era,
                revision=snapshot.revision,
            )

    async def _fetch_from(self, member: model.Member) -> None:
        after, started_s = self.replica.position, self._clock.now()
        try:
            found = await self._client.fetch_changes(
                member.internal_address, after
            )
        except exceptions.PeerError as error:
            self._log.warn(
                "peer_silent",
                peer=member.name,
                reason=error.message,
                after=after.revision,
                took_ms=(self._clock.now() - started_s) * 1000,
            )
            # Until its next heartbeat this host is not asked again, however
            # near it is.
            self._peer_positions.pop(member.name, None)
            self._needs_changes = True
            return
        self._log.info(
            "changes_fetched",
            peer=member.name,
            after=after.revision,
            revision=found.revision,
            items=len(found.items),
            snapshot=found.is_snapshot,
            took_ms=(self._clock.now() - started_s) * 1000,
        )
        if found.position <= after:
            self._peer_positions.pop(member.name, None)
        self._apply_fetched(found)

    def _apply_fetched(self, found: messages.Changes) -> None:
        if found.position <= self.replica.position:
            return
        if found.is_snapshot:
            self._apply_snapshot(found.items, found.position, found.held)
        else:
            self._notify(
                self.replica.apply_changes(
                    found.items, found.revision, found.era
                )
            )

    def _apply_snapshot(
        self,
        items: tuple[interface.Item, ...],
        position: interface.Position,
        held: tuple[interface.Item, ...] = (),
    ) -> None:
        known = self.replica.position
        has_new_era = position.era > known.era
        if has_new_era:
            self._on_era(position.era, known.revision > 0)
            self._held_until_s = self._clock.now() + RESTORATION_S
        changed = self.replica.apply_snapshot(
            items, position.revision, position.era, held
        )
        if has_new_era and known.revision:
            self._log.warn(
                "store_era_began",
                era=position.era,
                revision=position.revision,
                former_era=known.era,
                former_revision=known.revision,
                changed=len(changed),
                held=",".join(self.replica.held_keys),
                held_s=RESTORATION_S,
            )
            self._on_revision()
        self._notify(changed)

    def _notify(self, changed: list[interface.Item]) -> None:
        self._freshness.advance(self.replica.position)
        self._behind_since_s = (
            self._clock.now() if self._list_ahead() else None
        )
        if changed:
            self._on_revision()
