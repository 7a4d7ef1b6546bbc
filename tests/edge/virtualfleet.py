"""Many hosts that follow a store over links of limited bandwidth.

The hosts run the product's watchers and heartbeats and the store is its
stand-in; network and time are simulated, so that a run takes seconds and
repeats exactly.
"""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

from tests import builders

from cowslipshift import transfers
from cowslipshift.edge import exceptions
from cowslipshift.edge import heartbeats
from cowslipshift.edge import messages
from cowslipshift.edge import peerclient
from cowslipshift.edge import registration
from cowslipshift.edge import service
from cowslipshift.edge import watcher as watchers
from cowslipshift.platform import names
from cowslipshift.platform import store as stores
from cowslipshift.standins import platformstore
from cowslipshift.steering import changes
from cowslipshift.steering import limiters
from cowslipshift.steering import model
from cowslipshift.steering import overlay as overlays
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface

CENTRES = {
    f"{region}-{centre}": region
    for region in ("north", "south", "west")
    for centre in "abc"
}
FAST_LINK_MBPS = 200.0
SLOW_LINK_MBPS = 10.0
LOCAL_LATENCY_S = 0.0001
REGION_LATENCY_S = 0.0014
FAR_LATENCY_S = 0.012
MAX_QUEUE_S = 0.5
"""Datagrams that would wait longer than this for a link are lost."""

ACCOUNTS = 85
CONFIG_BYTES = 25_000
ENTRY_BYTES = 350


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when it is idle."""

    def __init__(self) -> None:
        super().__init__()
        self._now_s = 0.0

    def time(self) -> float:
        return self._now_s

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0]._when)
        super()._run_once()


class Clock:
    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return self._loop.time()


class Link:
    """One direction of a host's link, on which transfers wait in turn."""

    def __init__(self, mbps: float) -> None:
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_s = 0.0
        self.sent_bytes = 0

    def measure_wait(self, now: float) -> float:
        return max(0.0, self._free_s - now)

    def transfer(self, size: int, now: float) -> float:
        """Queue a transfer; return when its last byte has passed."""
        self.sent_bytes += size
        self._free_s = max(self._free_s, now) + size / self._bytes_per_s
        return self._free_s


class StoreClient:
    """Calls of one host to the store, over the host's link."""

    def __init__(self, fleet: VirtualFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def read_prefix(self, prefix: str) -> interface.Snapshot:
        store = self._fleet.store
        self._fleet.whole_reads += 1
        items: list[interface.Item] = []
        first_revision, has_more = 0, True
        while has_more:
            await self._send_call()
            last_key = items[-1].key if items else ""
            rows, has_more = store.list_page(prefix, last_key)
            first_revision = first_revision or store.revision
            items += await self._receive(rows)
        return interface.Snapshot(tuple(items), first_revision)

    async def watch_prefix(
        self, prefix: str, after: int, wait_s: float
    ) -> interface.Snapshot:
        fleet, silenced = self._fleet, self._fleet.silenced
        started_s = fleet.loop.time()
        await self._send_call()
        waiting = asyncio.ensure_future(
            fleet.store.wait_for_events(prefix, after, wait_s)
        )
        silence = asyncio.ensure_future(silenced.wait())
        try:
            await asyncio.wait(
                {waiting, silence}, return_when=asyncio.FIRST_COMPLETED
            )
            if silenced.is_set() or fleet.is_dead(self._host.name):
                limit_s = started_s + wait_s + stores.WATCH_MARGIN_S
                await asyncio.sleep(max(0.0, limit_s - fleet.loop.time()))
                raise store_exceptions.StoreUnavailableError("no answer")
            found = await waiting
        finally:
            waiting.cancel()
            silence.cancel()
        assert found is not None
        rows, revision = found
        return interface.Snapshot(tuple(await self._receive(rows)), revision)

    async def _send_call(self) -> None:
        if self._fleet.is_dead(self._host.name):
            await asyncio.sleep(stores.CALL_TIMEOUT_S)
            raise store_exceptions.StoreUnavailableError("no path")
        await asyncio.sleep(FAR_LATENCY_S)
        if self._host.name in self._fleet.refused:
            raise store_exceptions.StoreUnavailableError("turned away")

    async def _receive(
        self, rows: list[dict[str, Any]]
    ) -> list[interface.Item]:
        items = [_decode(row) for row in rows]
        size = sum(_measure(item) * 4 // 3 for item in items)
        started_s = self._fleet.loop.time()
        arrival_s = self._host.inbound.transfer(size, started_s)
        limit_s = transfers.measure_limit(stores.CALL_TIMEOUT_S, size)
        if arrival_s - started_s > limit_s:
            await asyncio.sleep(limit_s)
            raise store_exceptions.StoreUnavailableError("no answer in time")
        await asyncio.sleep(arrival_s - started_s + FAR_LATENCY_S)
        return items


class PeerClient:
    """Requests of one host to others, over the links of both."""

    def __init__(self, fleet: VirtualFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def fetch_changes(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        fleet, source = self._fleet, self._fleet.hosts[address.split(":")[0]]
        latency_s = fleet.get_latency(self._host, source)
        now = fleet.loop.time()
        if not fleet.has_path(self._host, source):
            await asyncio.sleep(peerclient.PEER_TIMEOUT_S)
            raise exceptions.PeerError("no path")
        await asyncio.sleep(latency_s + source.outbound.measure_wait(now))
        found = source.watcher.replica.list_changes(after.revision, after.era)
        size = 100 + sum(_measure(item) for item in found.items)
        sent_s = source.outbound.transfer(size, fleet.loop.time())
        arrival_s = self._host.inbound.transfer(size, sent_s) + latency_s
        limit_s = transfers.measure_limit(peerclient.PEER_TIMEOUT_S, size)
        if arrival_s - now > limit_s:
            left_s = now + limit_s - fleet.loop.time()
            await asyncio.sleep(max(0.0, left_s))
            raise exceptions.PeerError("no answer in time")
        await asyncio.sleep(arrival_s - fleet.loop.time())
        return found


class GossipSocket:
    """Sends datagrams of one host over the links of both ends."""

    def __init__(self, fleet: VirtualFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    def send(
        self,
        batch: list[messages.EncodedHeartbeat],
        addresses: list[str],
    ) -> None:
        fleet, now = self._fleet, self._fleet.loop.time()
        bundle = messages.Bundle(self._host.name, batch)
        size = len(messages.encode_bundle(bundle))
        for address in addresses:
            to = fleet.hosts[address.split(":")[0]]
            if not fleet.has_path(self._host, to):
                continue
            outbound = self._host.outbound
            if outbound.measure_wait(now) > MAX_QUEUE_S:
                continue
            arrival_s = outbound.transfer(size, now)
            if to.inbound.measure_wait(arrival_s) > MAX_QUEUE_S:
                continue
            arrival_s = to.inbound.transfer(size, arrival_s)
            arrival_s += fleet.get_latency(self._host, to)
            fleet.loop.call_at(arrival_s, to.exchange.receive, bundle)


class BusyAccounts:
    """Accounts that are all in use, so that heartbeats are at their largest.

    The counts differ from host to host. What other hosts report is ignored.
    """

    def __init__(self, accounts: list[str], draw: random.Random) -> None:
        self._usages = [
            limiters.Usage(name, draw.randrange(60), 9.0 * draw.random())
            for name in accounts
        ]

    def list_reports(self, *_: object) -> list[limiters.Usage]:
        return self._usages

    def record_reports(self, *_: object) -> None:
        pass

    def record_newcomer(self, *_: object) -> None:
        pass


class Host:
    """One host: its links, its replica of the store, its heartbeats."""

    def __init__(
        self, fleet: VirtualFleet, member: model.Member, link_mbps: float
    ) -> None:
        self.member = member
        self.name = member.name
        self.outbound = Link(link_mbps)
        self.inbound = Link(link_mbps)
        self.applied_s: dict[int, float] = {}
        self._fleet = fleet
        self._balancer = builders.build_balancer(own=member)
        self._balancer.accounts = BusyAccounts(fleet.accounts, fleet.draw)
        self._membership = self._balancer.membership
        overlay = overlays.Overlay(self._membership)
        self.watcher = watchers.Watcher(
            fleet.clock,
            StoreClient(fleet, self),
            self._membership,
            overlay,
            PeerClient(fleet, self),
            self._apply_item,
            lambda: None,
            lambda: self.exchange.send_revision(),
            fleet.bound_s * watchers.MAX_AGE_BOUND_FRACTION,
        )
        self.exchange = heartbeats.HeartbeatExchange(
            fleet.clock,
            self._balancer,
            self.watcher,
            GossipSocket(fleet, self),
            overlay,
        )

    async def run(self) -> None:
        asyncio.ensure_future(self.watcher.run())
        asyncio.ensure_future(self._renew_registration())
        while True:
            await asyncio.sleep(service.TICK_INTERVAL_S)
            now = self._fleet.loop.time()
            self._membership.drop_unregistered(now)
            self.exchange.tick(now)

    async def _renew_registration(self) -> None:
        await asyncio.sleep(
            self._fleet.draw.random() * registration.LEASE_RENEWAL_INTERVAL_S
        )
        while True:
            is_refused = (
                self.name in self._fleet.refused
                or self._fleet.is_dead(self.name)
            )
            if is_refused:
                self.watcher.record_store_failure(
                    "turned away", self._fleet.loop.time()
                )
            else:
                self.watcher.record_store_answer()
                self._fleet.renew_registration(self.member)
            await asyncio.sleep(registration.LEASE_RENEWAL_INTERVAL_S)

    def _apply_item(self, item: interface.Item) -> bool:
        now = self._fleet.loop.time()
        if item.key == names.CONFIG_KEY:
            self.applied_s.setdefault(item.revision, now)
        if item.key.startswith(names.MEMBER_PREFIX):
            name = item.key.removeprefix(names.MEMBER_PREFIX)
            member = None if item.value is None else self._fleet.members[name]
            self._balancer.apply(changes.MemberChange(name, member), now)
        return False


class VirtualFleet:
    """Hosts of nine data centres in three regions, and their store.

    Args:
        hosts: Number of hosts.
        backends: Number of backend servers that the store names.
        seed: Seed of what is drawn.
        fast_hosts: Number of hosts in each data centre with a fast link.
        bound_s: Time within which a configuration has to be in force.
        slow_link_mbps: Bandwidth of the other hosts.
        config_bytes: Size of a configuration.
    """

    def __init__(
        self,
        hosts: int,
        backends: int,
        seed: int,
        fast_hosts: int,
        bound_s: float = 3.0,
        slow_link_mbps: float = SLOW_LINK_MBPS,
        config_bytes: int = CONFIG_BYTES,
    ) -> None:
        self.bound_s = bound_s
        self._config_bytes = config_bytes
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.clock = Clock(self.loop)
        self.draw = random.Random(seed)
        self.accounts = [f"account{n}" for n in range(ACCOUNTS)]
        self.store = platformstore.PlatformStoreStandIn(self.clock)
        self.refused: set[str] = set()
        self.dead: set[str] = set()
        self.cut_centre = ""
        self.silenced = asyncio.Event()
        self.whole_reads = 0
        self._leases: dict[str, int] = {}
        centres = sorted(CENTRES)
        self.members: dict[str, model.Member] = {}
        self.hosts: dict[str, Host] = {}
        for number in range(hosts):
            centre = centres[number % len(centres)]
            is_fast = number // len(centres) < fast_hosts
            mbps = FAST_LINK_MBPS if is_fast else slow_link_mbps
            member = builders.build_member(
                f"h{number}", CENTRES[centre], centre, mbps
            )
            self.members[member.name] = member
            self.hosts[member.name] = Host(self, member, mbps)
        self.store.put(names.CONFIG_KEY, bytes(config_bytes))
        for number in range(backends):
            self.store.put(
                f"{names.BACKEND_PREFIX}{number}", bytes(ENTRY_BYTES)
            )
        for member in self.members.values():
            self.renew_registration(member)

    def get_latency(self, first: Host, second: Host) -> float:
        if first.member.region != second.member.region:
            return FAR_LATENCY_S
        if first.member.data_centre != second.member.data_centre:
            return REGION_LATENCY_S
        return LOCAL_LATENCY_S

    def is_dead(self, name: str) -> bool:
        """Tell whether a host has no path to anything."""
        return name in self.dead

    def has_path(self, first: Host, second: Host) -> bool:
        """Tell whether two hosts reach each other."""
        if self.is_dead(first.name) or self.is_dead(second.name):
            return False
        is_first_cut = first.member.data_centre == self.cut_centre
        is_second_cut = second.member.data_centre == self.cut_centre
        return is_first_cut == is_second_cut

    def silence_store_connections(self) -> None:
        """Let no watch that is waiting ever be answered."""
        silenced, self.silenced = self.silenced, asyncio.Event()
        silenced.set()

    def renew_registration(self, member: model.Member) -> None:
        if self.store.renew_lease(self._leases.get(member.name, 0)):
            return
        lease = self.store.grant_lease(registration.LEASE_TTL_S)
        self._leases[member.name] = lease
        key = names.MEMBER_PREFIX + member.name
        self.store.put(key, bytes(ENTRY_BYTES), lease)

    def write_configuration(self) -> int:
        """Write another configuration; return its revision."""
        value = self.store.revision.to_bytes(self._config_bytes, "big")
        return self.store.put(names.CONFIG_KEY, value)

    def start(self) -> None:
        for host in self.hosts.values():
            self.loop.create_task(host.run())
        self.loop.create_task(self.store.run_leases())

    def run(self, length_s: float) -> None:
        self.loop.run_until_complete(asyncio.sleep(length_s))

    def close(self) -> None:
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(*tasks, return_exceptions=True)
        )
        self.loop.close()
        asyncio.set_event_loop(None)

    def list_late(
        self, revision: int, written_s: float, bound_s: float
    ) -> dict[str, float]:
        """Return the hosts on which a configuration came too late.

        A later configuration counts as well.
        """
        late = {}
        for name, host in self.hosts.items():
            if self.is_dead(name):
                continue
            applied_s = min(
                (
                    applied_s
                    for applied, applied_s in host.applied_s.items()
                    if applied >= revision
                ),
                default=float("inf"),
            )
            if applied_s - written_s > bound_s:
                late[name] = applied_s - written_s
        return late


def _decode(row: dict[str, Any]) -> interface.Item:
    value = None if row.get("deleted") else base64.b64decode(row["value"])
    return interface.Item(row["key"], value, row["rev"])


def _measure(item: interface.Item) -> int:
    return 60 + len(item.key) + len(item.value or b"")
