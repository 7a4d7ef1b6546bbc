"""Registrations of hosts in a store that fails now and then."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from tests import builders

from cowslipshift import clock as clocks
from cowslipshift.edge import registration
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.store import exceptions as store_exceptions

OWN = builders.build_member("h1")


class FailingStore:
    """A store whose writes end as told; leases are granted and renewed.

    Attributes:
        write_results: What the next writes return, or raise; then all succeed.
        written: Lease of each write that succeeded.
    """

    def __init__(self) -> None:
        self.write_results: list[bool | Exception] = []
        self.written: list[int] = []
        self.renewed: list[int] = []
        self.leases = 0

    async def renew_lease(self, lease: int) -> bool:
        self.renewed.append(lease)
        return True

    async def grant_lease(self, ttl_s: float) -> int:
        self.leases += 1
        return self.leases

    async def swap_items(self, expected, writes, lease) -> bool:
        assert list(writes) == [names.MEMBER_PREFIX + OWN.name]
        result = self.write_results.pop(0) if self.write_results else True
        if isinstance(result, Exception):
            raise result
        if result:
            self.written.append(lease)
        return result


class StoreObserver:
    def record_store_answer(self) -> None:
        pass

    def record_store_failure(self, reason, started_s) -> None:
        pass


@pytest.fixture
def store() -> FailingStore:
    return FailingStore()


# Guards against a host that is never registered, as the write of its entry
# failed after its lease had been granted.
@pytest.mark.parametrize(
    "failure", (store_exceptions.StoreUnavailableError("no answer"), False)
)
async def test_entry_whose_write_failed_is_written_again(
    store, monkeypatch, failure
) -> None:
    monkeypatch.setattr(registration, "LEASE_RENEWAL_INTERVAL_S", 0.02)
    store.write_results = [failure, failure]
    host = registration.HostRegistration(
        clocks.SystemClock(), OWN, store, StoreObserver()
    )
    task = asyncio.create_task(host.run())
    await platformfleet.wait_until(lambda: bool(store.written))
    await asyncio.sleep(0.1)
    task.cancel()
    assert store.written == [store.leases]


# Guards against a host that renews the lease of another one, as the store has
# lost its own and given out the id again.
async def test_lease_of_an_earlier_era_is_not_renewed(
    store, monkeypatch
) -> None:
    monkeypatch.setattr(registration, "LEASE_RENEWAL_INTERVAL_S", 0.02)
    monkeypatch.setattr(registration, "MAX_REGISTRATION_DELAY_S", 0.0)
    host = registration.HostRegistration(
        clocks.SystemClock(), OWN, store, StoreObserver()
    )
    task = asyncio.create_task(host.run())
    await platformfleet.wait_until(lambda: 1 in store.renewed)
    host.register_again()
    store.renewed.clear()
    await platformfleet.wait_until(lambda: 2 in store.renewed)
    task.cancel()
    assert store.written == [1, 2]
    assert set(store.renewed) == {2}


# Guards against a host that is taken for dead, and then forgotten, as a write
# of its earlier start is executed after its own registration.
async def test_entry_that_an_earlier_start_replaces_is_written_again() -> None:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        host, other = fleet.hosts
        key = names.MEMBER_PREFIX + host.settings.node_name
        own = fleet.store.get(key)
        assert own is not None
        earlier = msgspec.json.decode(own)
        earlier["incarnation"] -= 1
        fleet.store.put(key, msgspec.json.encode(earlier))
        await platformfleet.wait_until(lambda: fleet.store.get(key) == own)
        await platformfleet.wait_until(
            lambda: other.revision >= fleet.store.revision
        )
        member = other.balancer.membership.find_member(host.settings.node_name)
        assert member is not None
        assert member.incarnation == earlier["incarnation"] + 1


async def test_entry_that_is_removed_is_written_again() -> None:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        key = names.MEMBER_PREFIX + fleet.hosts[0].settings.node_name
        own = fleet.store.get(key)
        fleet.store.delete(key)
        await platformfleet.wait_until(lambda: fleet.store.get(key) == own)


async def test_host_that_stops_does_not_write_its_entry_again() -> None:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        stopped = fleet.hosts[1]
        key = names.MEMBER_PREFIX + stopped.settings.node_name
        await fleet.stop_host(stopped)
        await asyncio.sleep(2 * registration.MIN_WRITE_INTERVAL_S)
        assert fleet.store.get(key) is None
