"""One account's limit over hosts of which some don't hear some others."""

from __future__ import annotations

import random

import pytest
from tests.steering import accountfleet

from cowslipshift.steering import model

SETTLE_S = 8.0
"""Time after a change of the hosts or links in which refusals are not owed:
the longest silence that goes unnoticed and one window."""

CUT_S = (9.4, 14.5)

DAYS = [(10, False, seed) for seed in range(12)]
DAYS += [(70, True, seed) for seed in range(3)]


class FleetMachine:
    """Draws bursts, cuts, deaths and starts, one after the other."""

    def __init__(self, hosts: int, is_relayed: bool, seed: int) -> None:
        self._draw = random.Random(seed)
        self._rate = self._draw.choice([60.0, 140.0, 190.0])
        account = model.Account("a", 1, self._rate, self._rate)
        loss = self._draw.uniform(0.0, 0.04)
        self.fleet = accountfleet.RelayedFleet(
            account, hosts, seed, loss, 0.03, is_relayed
        )
        self.disturbed: list[tuple[float, float]] = []

    def run(self, steps: int) -> None:
        """Take steps of one to four seconds."""
        fleet, usual = self.fleet, self._rate / 1.6
        fleet.run(3.0, lambda _: usual)
        for _ in range(steps):
            demand = usual * self._draw.choice([0.6, 1.0, 1.0, 3.0, 7.5, 9.0])
            since_s = fleet.now
            is_calm = not (fleet.cut_links or fleet.dead)
            self._draw_event()
            fleet.run(
                since_s + self._draw.uniform(1.0, 4.0),
                lambda _, demand=demand: demand,
            )
            if fleet.cut_links or fleet.dead or not is_calm:
                self.disturbed.append((since_s, fleet.now + SETTLE_S))

    def _draw_event(self) -> None:
        fleet = self.fleet
        centre = self._draw.randrange(accountfleet.CENTRES)
        others = set(range(accountfleet.CENTRES)) - {centre}
        event = self._draw.choice(
            ["none", "none", "heal", "heal", "cut", "deaf", "mute", "end"]
        )
        if event in {"cut", "mute"}:
            fleet.cut_links |= {(centre, other) for other in others}
        if event in {"cut", "deaf"}:
            fleet.cut_links |= {(other, centre) for other in others}
        if event == "end":
            fleet.kill(self._draw.randrange(len(fleet.limiters)))
        if event == "heal":
            fleet.cut_links.clear()
            for host in sorted(fleet.dead):
                fleet.restart(host)


def run_cut_in_burst(
    hosts: int, is_relayed: bool, seed: int
) -> accountfleet.RelayedFleet:
    """Cut a data centre off while a crowd fills the quota."""
    account = model.Account("a", 1, 141.0, 141.0)
    fleet = accountfleet.RelayedFleet(
        account, hosts, seed, loss=0.01, is_relayed=is_relayed
    )
    centre = seed % accountfleet.CENTRES
    for host in range(centre, hosts, accountfleet.CENTRES):
        fleet.weights[host] = 2.0
    fleet.run(8.4, lambda _: 80.0)
    fleet.run(CUT_S[0], lambda _: 800.0)
    for other in set(range(accountfleet.CENTRES)) - {centre}:
        fleet.cut_links |= {(centre, other), (other, centre)}
    fleet.run(CUT_S[1], lambda _: 800.0)
    fleet.cut_links.clear()
    fleet.run(28.0, lambda _: 800.0)
    return fleet


# Hosts that came back from a cut took what the others had admitted meanwhile
# to be older than it was, and granted it once more.
@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(("hosts", "is_relayed"), [(10, False), (70, True)])
def test_account_stays_within_its_quota_after_a_cut_in_a_burst(
    hosts, is_relayed, seed
) -> None:
    fleet = run_cut_in_burst(hosts, is_relayed, seed)
    assert fleet.count_peak() <= fleet.bound


# A whole window that leaves at once is granted again a heartbeat late.
@pytest.mark.parametrize(("hosts", "is_relayed"), [(10, False), (70, True)])
def test_account_gets_its_quota_after_a_cut_in_a_burst(
    hosts, is_relayed
) -> None:
    fleet = run_cut_in_burst(hosts, is_relayed, 0)
    owed = fleet.count_owed([(CUT_S[0], CUT_S[1] + SETTLE_S)])
    assert owed <= 0.02 * len(fleet.admitted)


@pytest.mark.parametrize(("hosts", "is_relayed", "seed"), DAYS)
def test_account_stays_within_its_quota_and_gets_it(
    hosts, is_relayed, seed
) -> None:
    """All but refusals near a disturbance count as owed."""
    machine = FleetMachine(hosts, is_relayed, seed)
    machine.run(9)
    fleet = machine.fleet
    assert fleet.count_peak() <= fleet.bound
    assert fleet.count_owed(machine.disturbed) <= 0.02 * len(fleet.admitted)
