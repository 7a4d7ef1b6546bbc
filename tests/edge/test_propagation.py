"""Configurations reach many hosts in time, whatever fails meanwhile."""

from __future__ import annotations

import functools
import os
from typing import TYPE_CHECKING

import pytest
from tests.edge import virtualfleet

from cowslipshift.edge import messages

if TYPE_CHECKING:
    from collections.abc import Iterator

HOSTS = 85
BACKENDS = 465
START_S = 8.0
BOUND_S = 3.0
"""Time within which operators require a configuration to be in force."""

FAST_HOSTS = 2
"""Hosts of each data centre that have a fast link, unless a test has none."""

LARGE_CONFIG_BYTES = 656_000
"""Configuration with 2,800 routes."""

SEEDS = range(int(os.environ.get("COWSLIPSHIFT_PROPAGATION_SEEDS", "2")))
NARROW_SEEDS = range(max(3, len(SEEDS)))


@pytest.fixture(autouse=True)
def decoded_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Decode every heartbeat once, not for each host that receives it."""
    decode = functools.lru_cache(4096)(messages.decode_heartbeat)
    monkeypatch.setattr(messages, "decode_heartbeat", decode)


def run_fleet(
    seed: int, fast_hosts: int
) -> Iterator[virtualfleet.VirtualFleet]:
    fleet = virtualfleet.VirtualFleet(HOSTS, BACKENDS, seed, fast_hosts)
    fleet.start()
    fleet.run(START_S)
    yield fleet
    fleet.close()


@pytest.fixture(params=SEEDS)
def fleet(
    request: pytest.FixtureRequest,
) -> Iterator[virtualfleet.VirtualFleet]:
    yield from run_fleet(request.param, FAST_HOSTS)


@pytest.fixture(params=NARROW_SEEDS)
def narrow_fleet(
    request: pytest.FixtureRequest,
) -> Iterator[virtualfleet.VirtualFleet]:
    yield from run_fleet(request.param, 0)


def write_storm(
    fleet: virtualfleet.VirtualFleet, count: int, gap_s: float
) -> dict[int, float]:
    """Write configurations in quick succession; return their times."""
    written_s = {}
    for _ in range(count):
        written_s[fleet.write_configuration()] = fleet.loop.time()
        fleet.run(gap_s)
    return written_s


def assert_in_time(
    fleet: virtualfleet.VirtualFleet, written_s: dict[int, float]
) -> None:
    fleet.run(2 * BOUND_S)
    for revision, at_s in written_s.items():
        assert fleet.list_late(revision, at_s, BOUND_S) == {}


# Guards against hosts that all ask one host, or all read the whole store, when
# several configurations follow each other.
def test_storm_of_configurations_reaches_all_hosts(fleet) -> None:
    written_s = write_storm(fleet, 6, 0.1)
    assert_in_time(fleet, written_s)


def turn_hosts_away(
    fleet: virtualfleet.VirtualFleet,
) -> dict[int, float]:
    """Let the store turn a third of the hosts away for 9 s.

    Returns:
        Times of the configurations that are written meanwhile and after.
    """
    fleet.refused = set(fleet.draw.sample(sorted(fleet.hosts), HOSTS // 3))
    written_s = write_storm(fleet, 4, 0.1)
    fleet.run(4.5)
    written_s |= write_storm(fleet, 1, 4.0)
    fleet.refused = set()
    return written_s | write_storm(fleet, 1, 0.1)


# Guards against hosts that fall behind for as long as the store turns them
# away, and against those that they burden meanwhile.
def test_configurations_reach_hosts_that_the_store_turns_away(fleet) -> None:
    assert_in_time(fleet, turn_hosts_away(fleet))


# Guards against relays whose links are filled by heartbeats, so that changes
# wait behind them.
def test_configurations_reach_all_hosts_over_narrow_links(
    narrow_fleet,
) -> None:
    assert_in_time(narrow_fleet, turn_hosts_away(narrow_fleet))


# Guards against hosts that give up each transfer of a large configuration, to
# the store and to each other, and fill the links by asking again.
@pytest.mark.parametrize("seed", SEEDS)
def test_large_configurations_reach_hosts_with_narrow_links(seed) -> None:
    fleet = virtualfleet.VirtualFleet(
        70, 103, seed, FAST_HOSTS, BOUND_S, 5.0, LARGE_CONFIG_BYTES
    )
    fleet.start()
    fleet.run(START_S)
    written_s = write_storm(fleet, 2, 5.0)
    assert_in_time(fleet, written_s)
    fleet.close()
