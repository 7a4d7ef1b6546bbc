"""Work moves between regions by demand and room, without a network."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tests import builders

from cowslipshift.edge import messages
from cowslipshift.steering import changes
from cowslipshift.workload import demand as demands
from cowslipshift.workload import regionshares

REGIONS = ("north", "south", "west")
HOSTS_PER_REGION = 8
SERVERS = {"north": 5, "south": 1, "west": 4}
SLOTS = 9


def build_rooms(
    loads: dict[str, float], slots: float = 100.0
) -> dict[str, regionshares.RegionRoom]:
    return {
        region: regionshares.RegionRoom(slots, load)
        for region, load in loads.items()
    }


AT_HOME = {region: {region: 1.0} for region in REGIONS}


def divide(
    rates: dict[str, float],
    loads: dict[str, float],
    usual: dict[str, dict[str, float]] | None = None,
    **bound: float,
):
    return regionshares.divide_requests(
        "north",
        demands.Demand(rates, bound),
        build_rooms(loads),
        usual or AT_HOME,
    )


def test_nothing_moves_while_the_region_has_room() -> None:
    rates = {"north": 60.0, "south": 10.0, "west": 10.0}
    loads = {"north": 50.0, "south": 10.0, "west": 20.0}
    assert divide(rates, loads) == {"north": 1.0}
    halves = {"north": 0.5, "west": 0.5}
    assert divide(rates, loads, {**AT_HOME, "north": halves}) == halves


def test_wave_of_one_region_is_shared_with_the_others() -> None:
    """North asks for 1.8 times its room, the others for a third of theirs."""
    rates = {"north": 180.0, "south": 30.0, "west": 30.0}
    shares = divide(rates, {"north": 180.0, "south": 30.0, "west": 30.0})
    assert shares is not None
    assert shares["north"] == pytest.approx(80.0 / 180.0)
    assert shares["south"] == pytest.approx(shares["west"])
    assert sum(shares.values()) == pytest.approx(1.0)


def test_overloaded_region_first_takes_less_of_the_others() -> None:
    """West usually serves half of north's callers and is full of its own."""
    rates = {"north": 60.0, "south": 10.0, "west": 90.0}
    loads = {"north": 30.0, "south": 10.0, "west": 120.0}
    usual = {**AT_HOME, "north": {"north": 0.5, "west": 0.5}}
    shares = divide(rates, loads, usual)
    assert shares is not None
    assert shares["west"] == pytest.approx(0.0)
    assert shares["north"] > 0.6


def test_bound_requests_take_their_region_s_room_first() -> None:
    rates = {"north": 60.0, "south": 10.0, "west": 10.0}
    loads = {"north": 110.0, "south": 10.0, "west": 10.0}
    shares = divide(rates, loads, north=50.0)
    assert shares is not None
    assert shares["north"] == pytest.approx(37.5 / 60.0)


def test_no_shares_are_computed_without_demand() -> None:
    assert divide({}, {"north": 5.0}) is None
    assert divide({"north": 5.0}, {"north": 0.0}) is None


_loads = st.dictionaries(
    st.sampled_from(REGIONS), st.floats(0.1, 500.0), min_size=1
)


@given(
    movable=_loads,
    bound=st.dictionaries(st.sampled_from(REGIONS), st.floats(0.0, 200.0)),
    slots=st.fixed_dictionaries(
        {region: st.floats(1.0, 300.0) for region in REGIONS}
    ),
    usual=st.fixed_dictionaries(
        {
            region: st.fixed_dictionaries(
                {target: st.floats(0.05, 1.0) for target in REGIONS}
            ).map(regionshares.normalise)
            for region in REGIONS
        }
    ),
)
def test_no_region_is_filled_while_another_has_room(
    movable, bound, slots, usual
) -> None:
    """What all regions send together fills none above the common level."""
    demand = demands.Demand(movable, bound)
    total = sum(movable.values()) + sum(bound.values())
    rooms = {
        region: regionshares.RegionRoom(slots[region], total / len(REGIONS))
        for region in REGIONS
    }
    assigned = dict.fromkeys(REGIONS, 0.0)
    for region, rate in movable.items():
        shares = regionshares.divide_requests(region, demand, rooms, usual)
        if shares is None:
            return
        assert sum(shares.values()) == pytest.approx(1.0)
        assert min(shares.values()) >= 0.0
        for target, share in shares.items():
            assigned[target] += rate * share
    free = {r: max(0.0, slots[r] - bound.get(r, 0.0)) for r in REGIONS}
    level = max(
        regionshares.COMFORTABLE_UTILISATION,
        sum(movable.values()) / sum(free.values()),
    )
    for region in REGIONS:
        assert assigned[region] <= level * free[region] * 1.001 + 1e-6


def test_shares_follow_slowly_and_all_hosts_alike() -> None:
    target = {"north": 0.4, "west": 0.6}
    shares = regionshares.RegionShares({"north": 1.0}, 0.0)
    other = regionshares.RegionShares({"north": 0.5, "west": 0.5}, 0.0)
    now = 0.0
    while now < 30.0:
        before = dict(shares.shares)
        now += 0.5
        shares.follow(target, now)
        other.follow(target, now)
        moved = abs(shares.shares["north"] - before["north"])
        assert moved <= regionshares.MAX_CHANGE_PER_S * 0.5 + 1e-9
    assert abs(shares.shares["north"] - 0.4) < regionshares.MIN_CHANGE
    assert abs(other.shares["north"] - 0.4) < regionshares.MIN_CHANGE


def test_small_differences_move_nothing_and_a_pause_no_more() -> None:
    shares = regionshares.RegionShares({"north": 1.0}, 0.0)
    assert not shares.follow({"north": 0.98, "west": 0.02}, 0.5)
    assert shares.follow({"west": 1.0}, 60.0)
    assert shares.shares["north"] >= 1.0 - regionshares.MAX_CHANGE_PER_S


class Fleet:
    """Hosts of three regions that hear each other's heartbeats."""

    def __init__(self) -> None:
        self.members = [
            builders.build_member(f"{region}-{n}", region, f"{region}-a")
            for region in REGIONS
            for n in range(HOSTS_PER_REGION)
        ]
        entries = [
            builders.build_backend(
                f"{region}{n}", data_centre=f"{region}-a", slots=SLOTS
            )
            for region, count in SERVERS.items()
            for n in range(count)
        ]
        self.balancers = {}
        for own in self.members:
            balancer = builders.build_balancer(
                own.name, backends=entries, region=own.region
            )
            for member in self.members:
                if member.name != own.name:
                    change = changes.MemberChange(member.name, member)
                    balancer.apply(change, 0.0)
            self.balancers[own.name] = balancer

    def set_loads(self, loads: dict[str, int], now: float) -> None:
        for balancer in self.balancers.values():
            for identity, state in balancer.inventory.by_id.items():
                state.record_load(loads[identity[:-1]], 0, now)

    def request(self, region: str, count: int, now: float) -> None:
        for number in range(count):
            name = f"{region}-{number % HOSTS_PER_REGION}"
            builders.open_call(self.balancers[name], str(number), now)

    def exchange(self, now: float, silent: str = "") -> None:
        sent = {
            name: balancer.spreader.demand.list_reports(now)
            for name, balancer in self.balancers.items()
            if not name.startswith(silent or "-")
        }
        for own, balancer in self.balancers.items():
            for member in self.members:
                if member.name != own and member.name in sent:
                    balancer.spreader.demand.record_peer(
                        member.name, member.region, sent[member.name], now
                    )
            balancer.spreader.adjust(now)

    def count_regions(self, region: str, now: float) -> dict[str, int]:
        """Return where the objects of a region's callers are sent."""
        counts = dict.fromkeys(REGIONS, 0)
        balancer = self.balancers[f"{region}-0"]
        for number in range(200):
            call = builders.open_call(balancer, f"o{number}", now)
            counts[balancer._rank(call)[0].entry.data_centre[:-2]] += 1
        return counts


def play(fleet: Fleet, length_s: float, silent: str = "") -> float:
    """West is busy, north is idle; return the time at the end."""
    now = 0.0
    while now < length_s:
        now += 0.5
        fleet.set_loads({"north": 3, "south": 6, "west": 14}, now)
        fleet.request("west", 60, now)
        fleet.request("north", 15, now)
        fleet.request("south", 10, now)
        fleet.exchange(now, silent)
    return now


def test_overloaded_region_sends_to_an_idle_one_on_all_its_hosts() -> None:
    """On the code before, the sizes of the regions alone decided."""
    fleet = Fleet()
    before = fleet.count_regions("west", 0.0)
    now = play(fleet, 12.0)
    after = fleet.count_regions("west", now)
    assert before["west"] == 200
    assert after["west"] < 150
    assert after["north"] > 40
    listed = [
        fleet.balancers[f"west-{n}"].spreader.get_shares("sheets")
        for n in range(HOSTS_PER_REGION)
    ]
    assert all(
        abs(shares["west"] - listed[0]["west"]) < 0.05 for shares in listed
    )


def test_region_that_falls_silent_is_not_counted_for_long() -> None:
    fleet = Fleet()
    now = play(fleet, 4.0)
    table = fleet.balancers["north-0"].spreader.demand
    assert table.sum_up(["sheets"], now)["sheets"].movable["west"] > 50.0
    for _ in range(14):
        now += 0.5
        fleet.exchange(now, silent="west")
    assert "west" not in table.sum_up(["sheets"], now)["sheets"].movable


def test_demands_survive_the_wire() -> None:
    draw = random.Random(5)
    sent = [
        demands.DemandReport(f"s{n}", REGIONS[n % 3], float(draw.randrange(9)))
        for n in range(demands.MAX_REPORTS)
    ]
    heartbeat = messages.Heartbeat(
        "h", 1, 1, 1, False, False, True, [], [], demands=sent
    )
    raw = messages.encode_heartbeat(heartbeat)
    assert messages.decode_heartbeat(raw).demands == sent
