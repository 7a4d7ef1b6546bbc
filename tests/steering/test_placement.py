"""Objects over backend servers: evenness, nearness, agreement, few moves."""

from __future__ import annotations

import collections

from tests import builders

from cowslipshift.steering import backends
from cowslipshift.steering import placement

CENTRES = {"north": "north-a", "south": "south-a", "west": "west-a"}


def build_regions(
    **counts: int,
) -> dict[str, list[backends.BackendState]]:
    return {
        region: [
            backends.BackendState(
                builders.build_backend(
                    f"{region}-{n}", data_centre=CENTRES[region]
                ),
                0.0,
                0.0,
            )
            for n in range(count)
        ]
        for region, count in counts.items()
    }


def count_firsts(
    regions: dict[str, list[backends.BackendState]], things: int
) -> collections.Counter[str]:
    firsts: collections.Counter[str] = collections.Counter()
    for home in regions:
        for number in range(things):
            thing = f"{home}{number}"
            ranked = placement.rank_backends(thing, home, regions, 3)
            firsts[ranked[0].entry.id] += 1
    return firsts


def test_objects_stay_in_a_region_that_has_room() -> None:
    regions = build_regions(north=6, south=2, west=4)
    for home in ("north", "west"):
        for number in range(200):
            ranked = placement.rank_backends(
                f"{home}{number}", home, regions, 3
            )
            assert ranked[0].entry.id.startswith(home)


def test_small_region_is_no_fuller_than_its_lean_allows() -> None:
    regions = build_regions(north=6, south=2, west=4)
    firsts = count_firsts(regions, 2000)
    mean = sum(firsts.values()) / 12
    fullest = max(firsts.values()) / mean
    assert fullest <= placement.LOCAL_REGION_BIAS * 1.15


def test_all_servers_are_in_the_order_once() -> None:
    regions = build_regions(north=3, south=1, west=2)
    ranked = placement.rank_backends("x", "south", regions, 3)
    assert len({state.entry.id for state in ranked}) == len(ranked) == 6


def test_one_server_that_goes_moves_only_its_objects() -> None:
    regions = build_regions(north=4, south=4, west=4)
    before = {
        n: placement.rank_backends(f"o{n}", "north", regions, 3)[0].entry.id
        for n in range(500)
    }
    gone = regions["north"].pop().entry.id
    after = {
        n: placement.rank_backends(f"o{n}", "north", regions, 3)[0].entry.id
        for n in range(500)
    }
    moved = [n for n in before if before[n] != after[n]]
    kept = [n for n in moved if before[n] != gone]
    # Less room at home also sends a few objects elsewhere.
    assert len(kept) <= 0.1 * len(before)


def test_service_without_servers_in_the_region_is_found_elsewhere() -> None:
    regions = build_regions(north=2, west=2)
    assert placement.rank_backends("x", "south", regions, 3)
    assert placement.rank_backends("x", "south", {}, 3) == []
