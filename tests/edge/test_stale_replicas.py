"""Hosts that hear nothing notice that they may be out of date."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import virtualfleet

from cowslipshift.edge import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

START_S = 8.0
FAST_HOSTS = 2


class Deployment(msgspec.Struct, frozen=True):
    """Size of a fleet, and the bounds that its operators state.

    Attributes:
        bound_s: Time within which a configuration has to be in force.
        contact_s: Time after a disruption of a host within which the bound
            does not hold for it.
    """

    hosts: int
    bound_s: float
    contact_s: float


SMALL = Deployment(10, 2.0, 3.0)
LARGE = Deployment(45, 3.0, 4.0)


@pytest.fixture(autouse=True)
def decoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Decode every heartbeat once, not for each host that receives it."""
    decode = functools.lru_cache(4096)(messages.decode_heartbeat)
    monkeypatch.setattr(messages, "decode_heartbeat", decode)


@pytest.fixture(params=range(3))
def seed(request: pytest.FixtureRequest) -> int:
    seed: int = request.param
    return seed


@pytest.fixture(params=(SMALL, LARGE), ids=("small", "large"))
def deployment(request: pytest.FixtureRequest) -> Deployment:
    deployment: Deployment = request.param
    return deployment


@pytest.fixture
def fleet(
    seed: int, deployment: Deployment
) -> Iterator[virtualfleet.VirtualFleet]:
    started = virtualfleet.VirtualFleet(
        deployment.hosts, 60, seed, FAST_HOSTS, deployment.bound_s
    )
    started.start()
    started.run(START_S + started.draw.random())
    yield started
    started.close()


def assert_in_force(
    fleet: virtualfleet.VirtualFleet,
    delays_s: tuple[float, ...],
    deployment: Deployment,
    excused_s: float = 0.0,
) -> None:
    """Write configurations; check that each is in force in time.

    Args:
        fleet: The hosts and their store.
        delays_s: Times from now at which one is written.
        deployment: The bounds that hold.
        excused_s: Time from now up to which none has to be in force.
    """
    started_s = fleet.loop.time()
    for delay_s in delays_s:
        fleet.run(started_s + delay_s - fleet.loop.time())
        written_s = fleet.loop.time()
        revision = fleet.write_configuration()
        until_s = max(written_s + deployment.bound_s, started_s + excused_s)
        fleet.run(until_s - fleet.loop.time())
        late = fleet.list_late(revision, written_s, until_s - written_s)
        assert late == {}


# Guards against hosts that wait for a watch whose connection is silent.
@pytest.mark.parametrize("delay_s", (0.1, 0.9, 1.8))
def test_silent_connections_to_the_store_delay_no_configuration(
    fleet, deployment, delay_s
) -> None:
    fleet.silence_store_connections()
    assert_in_force(fleet, (delay_s,), deployment, deployment.contact_s)


# Guards against a data centre that hears of no change until both hosts that
# relay heartbeats to it are known to be gone.
def test_relays_that_fail_together_delay_no_configuration(
    fleet, deployment
) -> None:
    centre = fleet.draw.choice(sorted(virtualfleet.CENTRES))
    local = [
        name
        for name, host in fleet.hosts.items()
        if host.member.data_centre == centre
    ]
    fleet.dead = set(local[:FAST_HOSTS])
    assert_in_force(fleet, (0.2,), deployment)


# Guards against hosts that take another data centre's host for the one that
# watches the store, although they no longer hear of it.
def test_data_centre_that_hears_no_other_follows_the_store(
    fleet, deployment
) -> None:
    fleet.cut_centre = fleet.draw.choice(sorted(virtualfleet.CENTRES))
    assert_in_force(fleet, (0.2,), deployment)


# Guards against hosts that no other host sends to, as their registration has
# expired, until they have registered again.
def test_host_that_was_away_for_longer_than_its_lease_follows_the_store(
    fleet, deployment
) -> None:
    fleet.dead = {fleet.draw.choice(sorted(fleet.hosts))}
    fleet.run(9.0)
    fleet.dead = set()
    assert_in_force(fleet, (0.1,), deployment, deployment.contact_s)
