"""Which hosts write the stages of roll-outs."""

from __future__ import annotations

from typing import Any

import pytest
from tests import builders

from cowslipshift import clock as clocks
from cowslipshift.edge import rolloutcontroller
from cowslipshift.steering import changes
from cowslipshift.steering import model

RAMP_S = 15.0


class Store:
    """Records what is written."""

    def __init__(self) -> None:
        self.written: list[dict[str, bytes]] = []

    async def swap_items(
        self, expected: dict[str, int], values: dict[str, bytes]
    ) -> bool:
        self.written.append(values)
        return True


class Watcher:
    """Follows the store, or has not heard of it for a while."""

    def __init__(self, is_current: bool) -> None:
        self._is_current = is_current

    def is_current(self, now: float) -> bool:
        return self._is_current


# Guards against a host that was suspended or cut off and, before it has read
# what happened meanwhile, rolls a completed version back as its time is over.
@pytest.mark.parametrize("is_current", [True, False])
async def test_host_decides_only_with_a_recent_replica(is_current) -> None:
    balancer = builders.build_balancer()
    order = model.RolloutOrder("sheets", "v2", RAMP_S, 7)
    balancer.apply(changes.OrderChange("sheets", order), 0.0)
    store: Any = Store()
    watcher: Any = Watcher(is_current)
    controller = rolloutcontroller.RolloutController(
        clocks.SystemClock(), balancer, store, watcher
    )
    await controller.evaluate(2.0 * RAMP_S)
    assert bool(store.written) == is_current
