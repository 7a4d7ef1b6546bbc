"""Many hosts that follow a store over links of limited bandwidth.

The hosts run the product's watchers and heartbeats; store, network and time
are simulated, so that a run takes seconds and repeats exactly.
"""

from __future__ import annotations

import asyncio
import bisect
import functools
import random
from typing import Any
from typing import TYPE_CHECKING

from tests import builders

from cowslipshift.edge import exceptions
from cowslipshift.edge import heartbeats
from cowslipshift.edge import messages
from cowslipshift.edge import watcher as watchers
from cowslipshift.platform import names
from cowslipshift.steering import changes
from cowslipshift.steering import limiters
from cowslipshift.steering import model
from cowslipshift.steering import overlay as overlays
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable

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

FETCH_TIMEOUT_S = 0.6
STORE_TIMEOUT_S = 1.0
PAGE_ITEMS = 50
TICK_S = 0.1
LEASE_TTL_S = 6.0
RENEWAL_INTERVAL_S = 2.0
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


class Store:
    """A store that pages its items and can turn hosts away."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.revision = 1
        self.refused: set[str] = set()
        self.items: dict[str, interface.Item] = {}
        self.events: list[interface.Item] = []
        self.whole_reads = 0
        self._loop = loop
        self._changed = asyncio.Event()

    def write(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        item = interface.Item(key, value, self.revision)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self.events.append(item)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    async def read_page(
        self, after_key: str
    ) -> tuple[list[interface.Item], bool, int]:
        keys = sorted(key for key in self.items if key > after_key)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return page, len(keys) > PAGE_ITEMS, self.revision

    async def wait_for_events(
        self, after: int, wait_s: float
    ) -> tuple[list[interface.Item], int]:
        until_s = self._loop.time() + wait_s
        while True:
            index = bisect.bisect_right(
                self.events, after, key=lambda event: event.revision
            )
            remaining_s = until_s - self._loop.time()
            if index < len(self.events) or remaining_s <= 0.0:
                return self.events[index:], self.revision
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue


class StoreClient:
    """Calls of one host to the store, over the host's link."""

    def __init__(self, fleet: VirtualFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def read_prefix(self, prefix: str) -> interface.Snapshot:
        self._fleet.store.whole_reads += 1
        items: list[interface.Item] = []
        first_revision, has_more, last_key = 0, True, ""
        while has_more:
            page, has_more, revision = await self._call(
                functools.partial(self._fleet.store.read_page, last_key)
            )
            first_revision = first_revision or revision
            items += page
            last_key = page[-1].key if page else ""
        return interface.Snapshot(tuple(items), first_revision)

    async def watch_prefix(
        self, prefix: str, after: int, wait_s: float
    ) -> interface.Snapshot:
        items, revision = await self._call(
            functools.partial(self._fleet.store.wait_for_events, after, wait_s)
        )
        return interface.Snapshot(tuple(items), revision)

    async def _call(self, call: Callable[[], Any]) -> Any:
        await asyncio.sleep(FAR_LATENCY_S)
        if self._host.name in self._fleet.store.refused:
            raise store_exceptions.StoreUnavailableError("turned away")
        answer = await call()
        loop = self._fleet.loop
        size = sum(_measure(item) * 4 // 3 for item in answer[0])
        started_s = loop.time()
        arrival_s = self._host.inbound.transfer(size, started_s)
        if arrival_s - started_s > STORE_TIMEOUT_S:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise store_exceptions.StoreUnavailableError("no answer in time")
        await asyncio.sleep(arrival_s - started_s + FAR_LATENCY_S)
        return answer


class PeerClient:
    """Requests of one host to others, over the links of both."""

    def __init__(self, fleet: VirtualFleet, host: Host) -> None:
        self._fleet = fleet
        self._host = host

    async def fetch_changes(
        self, address: str, after: int
    ) -> messages.Changes:
        fleet, source = self._fleet, self._fleet.hosts[address.split(":")[0]]
        latency_s = fleet.get_latency(self._host, source)
        now = fleet.loop.time()
        await asyncio.sleep(latency_s + source.outbound.measure_wait(now))
        found = source.watcher.replica.list_changes(after)
        size = 100 + sum(_measure(item) for item in found.items)
        sent_s = source.outbound.transfer(size, fleet.loop.time())
        arrival_s = self._host.inbound.transfer(size, sent_s) + latency_s
        if arrival_s - now > FETCH_TIMEOUT_S:
            left_s = now + FETCH_TIMEOUT_S - fleet.loop.time()
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

    What other hosts report is ignored.
    """

    def __init__(self, accounts: list[str]) -> None:
        self._usages = [limiters.Usage(name, 9, 1.5) for name in accounts]

    def list_reports(self, *_: object) -> list[limiters.Usage]:
        return self._usages

    def record_reports(self, *_: object) -> None:
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
        self._balancer.accounts = BusyAccounts(fleet.accounts)
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
            await asyncio.sleep(TICK_S)
            now = self._fleet.loop.time()
            self._membership.drop_unregistered(now)
            self.exchange.tick(now)

    async def _renew_registration(self) -> None:
        await asyncio.sleep(self._fleet.draw.random() * RENEWAL_INTERVAL_S)
        while True:
            is_refused = self.name in self._fleet.store.refused
            self.watcher.record_store_result(not is_refused)
            if not is_refused:
                self._fleet.renew_registration(self.member)
            await asyncio.sleep(RENEWAL_INTERVAL_S)

    def _apply_item(self, item: interface.Item) -> None:
        now = self._fleet.loop.time()
        if item.key == names.CONFIG_KEY:
            self.applied_s.setdefault(item.revision, now)
        if item.key.startswith(names.MEMBER_PREFIX):
            name = item.key.removeprefix(names.MEMBER_PREFIX)
            member = None if item.value is None else self._fleet.members[name]
            self._balancer.apply(changes.MemberChange(name, member), now)


class VirtualFleet:
    """Hosts of nine data centres in three regions, and their store.

    Args:
        hosts: Number of hosts.
        backends: Number of backend servers that the store names.
        seed: Seed of what is drawn.
        fast_hosts: Number of hosts in each data centre with a fast link.
    """

    def __init__(
        self, hosts: int, backends: int, seed: int, fast_hosts: int
    ) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.clock = Clock(self.loop)
        self.draw = random.Random(seed)
        self.accounts = [f"account{n}" for n in range(ACCOUNTS)]
        self.store = Store(self.loop)
        self._expiries_s: dict[str, float] = {}
        centres = sorted(CENTRES)
        self.members: dict[str, model.Member] = {}
        self.hosts: dict[str, Host] = {}
        for number in range(hosts):
            centre = centres[number % len(centres)]
            is_fast = number // len(centres) < fast_hosts
            mbps = FAST_LINK_MBPS if is_fast else SLOW_LINK_MBPS
            member = builders.build_member(
                f"h{number}", CENTRES[centre], centre, mbps
            )
            self.members[member.name] = member
            self.hosts[member.name] = Host(self, member, mbps)
        self.store.write(names.CONFIG_KEY, bytes(CONFIG_BYTES))
        for number in range(backends):
            self.store.write(
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

    def renew_registration(self, member: model.Member) -> None:
        now = self.loop.time()
        if member.name not in self._expiries_s:
            key = names.MEMBER_PREFIX + member.name
            self.store.write(key, bytes(ENTRY_BYTES))
        self._expiries_s[member.name] = now + LEASE_TTL_S

    def write_configuration(self) -> int:
        """Write another configuration; return its revision."""
        value = self.store.revision.to_bytes(CONFIG_BYTES, "big")
        return self.store.write(names.CONFIG_KEY, value)

    def start(self) -> None:
        for host in self.hosts.values():
            self.loop.create_task(host.run())
        self.loop.create_task(self._expire_registrations())

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

    async def _expire_registrations(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = self.loop.time()
            for name, expiry_s in list(self._expiries_s.items()):
                if expiry_s <= now:
                    del self._expiries_s[name]
                    self.store.write(names.MEMBER_PREFIX + name, None)


def _measure(item: interface.Item) -> int:
    return 60 + len(item.key) + len(item.value or b"")
