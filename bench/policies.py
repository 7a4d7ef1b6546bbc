"""Object placement policies, compared on the same seeds in the emulator."""

from __future__ import annotations

import contextlib
import statistics
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from bench import emulatedfleet
from bench import emulator
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import placement

if TYPE_CHECKING:
    from collections.abc import Iterator

PLACEMENT_POLICIES: dict[str, dict[str, float]] = {
    "region that asks, two servers": {},
    "region that asks, one server": {"CANDIDATES": 1},
    "region that asks, three servers": {"CANDIDATES": 3},
    "region that asks, all servers": {"CANDIDATES": 99},
    "region that asks, always": {"LOCAL_REGION_BIAS": 99.0},
    "region by capacity alone": {"LOCAL_REGION_BIAS": 1.0},
    "hash over all regions": {"LOCAL_REGION_BIAS": -1.0},
}


async def measure(seeds: int, length_s: float) -> dict[str, Any]:
    """Return the mean outcome of each policy, by load."""
    loads = {"quiet": 27.0, "busy": 47.0, "overloaded": 75.0}
    return {
        load: {
            policy: _run_policy(constants, requests_per_s, seeds, length_s)
            for policy, constants in PLACEMENT_POLICIES.items()
        }
        for load, requests_per_s in loads.items()
    }


def _run_policy(
    constants: dict[str, float],
    requests_per_s: float,
    seeds: int,
    length_s: float,
) -> dict[str, float]:
    deployment = msgspec.structs.replace(
        emulatedfleet.UNEVEN, requests_per_s=requests_per_s
    )
    with _set_constants(constants):
        results = [
            emulator.Emulator(deployment, seed).run(length_s)
            for seed in range(seeds)
        ]
    return {
        name: round(statistics.mean(getattr(r, name) for r in results), 4)
        for name in emulatedfleet.Result.__struct_fields__
    }


@contextlib.contextmanager
def _set_constants(constants: dict[str, float]) -> Iterator[None]:
    modules = {"LOCAL_REGION_BIAS": placement, "CANDIDATES": balancers}
    saved = {name: getattr(modules[name], name) for name in constants}
    saved_function = placement.compute_region_shares
    if constants.get("LOCAL_REGION_BIAS", 0.0) < 0.0:
        constants = {**constants}
        del constants["LOCAL_REGION_BIAS"]
        placement.compute_region_shares = lambda own_region, slots, regions: (
            dict(slots)
        )
    for name, value in constants.items():
        setattr(modules[name], name, value)
    try:
        yield
    finally:
        placement.compute_region_shares = saved_function
        for name, value in saved.items():
            setattr(modules[name], name, value)
