"""How a host follows the store, itself and through other hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests import builders

from cowslipshift import clock as clocks
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.edge import watcher as watchers
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.steering import overlay as overlays
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REVISION = 5


class Store:
    """Records its calls; a watch returns what was written."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.revision = REVISION
        self.cuts_waiting = False
        self.is_down = False

    async def read_prefix(self, prefix: str) -> interface.Snapshot:
        self.calls.append("read")
        return interface.Snapshot((), self.revision)

    async def watch_prefix(
        self, prefix: str, after: int, wait_s: float
    ) -> interface.Snapshot:
        self.calls.append(f"watch {after}")
        if self.is_down:
            raise store_exceptions.StoreUnavailableError("down")
        if after == self.revision:
            await asyncio.sleep(wait_s)
            if wait_s and self.cuts_waiting:
                raise store_exceptions.StoreUnavailableError("cut")
        return interface.Snapshot((), self.revision)


class Client:
    """Answers with the revision that the other host has, or fails."""

    def __init__(self) -> None:
        self.revisions: dict[str, int] = {}
        self.asked: list[str] = []
        self.answers = asyncio.Event()
        self.answers.set()

    async def fetch_changes(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        name = address.partition(":")[0]
        self.asked.append(name)
        if name not in self.revisions:
            raise exceptions.PeerError("no answer")
        found = messages.Changes(self.revisions[name], False, ())
        await self.answers.wait()
        return found


class Setup:
    """A host whose region is watched by another one."""

    def __init__(self) -> None:
        self.store = Store()
        self.client = Client()
        self.outages = 0
        self.membership = builders.build_balancer("h1").membership
        self.watcher = watchers.Watcher(
            clocks.SystemClock(),
            self.store,
            self.membership,
            overlays.Overlay(self.membership),
            self.client,
            lambda item: False,
            self.count_outage,
            lambda: None,
        )

    def count_outage(self) -> None:
        self.outages += 1

    def hear(self, name: str, revision: int) -> None:
        now = clocks.SystemClock().now()
        if self.membership.find_member(name) is None:
            member = builders.build_member(name)
            self.membership.set_member(name, member, now)
        self.membership.record_heartbeat(name, 1, False, now)
        self.watcher.record_heartbeat(
            messages.Heartbeat(
                name, 1, 1, revision, False, False, True, [], []
            )
        )


@pytest.fixture
async def setup(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[Setup]:
    started = Setup()
    monkeypatch.setattr(watchers.Watcher, "is_watching", False)
    task = asyncio.create_task(started.watcher.run())
    await platformfleet.wait_until(lambda: started.watcher.replica.revision)
    started.store.calls.clear()
    yield started
    task.cancel()


async def test_host_that_is_not_ahead_is_not_asked(setup) -> None:
    setup.hear("h2", REVISION)
    await asyncio.sleep(2 * watchers.SOURCE_POLL_INTERVAL_S)
    assert setup.client.asked == []


# Guards against hosts that all read the whole store, over links that are
# narrow, because one host did not answer them in time.
async def test_host_without_an_answer_asks_the_store_for_changes_only(
    setup,
) -> None:
    setup.store.revision = 9
    setup.hear("h2", 9)
    await platformfleet.wait_until(lambda: setup.watcher.replica.revision == 9)
    assert setup.client.asked == ["h2"]
    assert setup.store.calls == [f"watch {REVISION}"]


# Guards against a host that stays behind until the next heartbeat, because the
# one that told it of a newer revision came while it was asking for an older.
async def test_revision_heard_of_while_asking_is_asked_for_next(
    setup,
) -> None:
    setup.client.answers.clear()
    setup.client.revisions["h2"] = 7
    setup.hear("h2", 7)
    await platformfleet.wait_until(lambda: setup.client.asked)
    setup.client.revisions["h2"] = 9
    setup.hear("h2", 9)
    setup.client.answers.set()
    await platformfleet.wait_until(lambda: setup.watcher.replica.revision == 9)
    assert setup.client.asked == ["h2", "h2"]
    assert setup.watcher.measure_behind(clocks.SystemClock().now()) == 0


async def test_host_that_claims_more_than_it_has_is_asked_once(setup) -> None:
    setup.client.revisions["h2"] = REVISION
    setup.hear("h2", 9)
    await asyncio.sleep(3 * watchers.SOURCE_POLL_INTERVAL_S)
    assert setup.client.asked == ["h2"]


async def test_unregistered_host_that_is_ahead_is_not_asked(setup) -> None:
    setup.watcher.record_heartbeat(
        messages.Heartbeat("h9", 1, 1, 9, False, False, True, [], [])
    )
    await asyncio.sleep(2 * watchers.SOURCE_POLL_INTERVAL_S)
    assert setup.client.asked == []


# Guards against hosts that ask another data centre at once, as long as their
# own passes changes on steadily but new ones keep coming.
async def test_every_change_applied_starts_the_time_behind_again(
    setup,
) -> None:
    clock = clocks.SystemClock()
    setup.client.revisions["h2"] = 7
    setup.client.answers.clear()
    setup.hear("h2", 9)
    started_s = clock.now()
    await platformfleet.wait_until(lambda: clock.now() - started_s > 0.3)
    assert setup.watcher.measure_behind(clock.now()) > 0.25
    setup.client.answers.set()
    await platformfleet.wait_until(lambda: setup.watcher.replica.revision == 7)
    assert setup.watcher.measure_behind(clock.now()) < 0.25


# Guards against DRAIN: hosts that take a watch that was cut for an outage of
# the store, and keep removed servers as they may be registered again.
async def test_cut_watches_are_no_outage(setup, monkeypatch) -> None:
    monkeypatch.setattr(watchers.Watcher, "is_watching", True)
    setup.store.cuts_waiting = True
    await platformfleet.wait_until(lambda: len(setup.store.calls) >= 6)
    assert setup.outages == 0
    assert setup.watcher.is_store_reachable


async def test_store_that_does_not_answer_again_is_an_outage(setup) -> None:
    setup.store.is_down = True
    setup.watcher.record_store_failure("no answer", 0.0)
    await platformfleet.wait_until(lambda: setup.outages > 0)
    assert not setup.watcher.is_store_reachable
    setup.store.is_down = False
    await platformfleet.wait_until(lambda: setup.watcher.is_store_reachable)


# Guards against DRAIN, with real hosts: cut watches keep a removed server in
# use.
async def test_removed_server_leaves_while_watches_are_cut() -> None:
    async with platformfleet.PlatformFleet() as fleet:
        identity = next(iter(fleet.backends))
        for _ in range(5):
            fleet.store.cut_watches()
            await asyncio.sleep(0.25)
        fleet.store.delete(names.BACKEND_PREFIX + identity)
        for _ in range(6):
            fleet.store.cut_watches()
            await asyncio.sleep(0.25)
        for host in fleet.hosts:
            assert identity not in host.balancer.inventory.by_id
