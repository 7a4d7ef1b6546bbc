"""Hosts as processes under overlapping disruptions, judged from outside.

More seeds, and longer runs: ``COWSLIPSHIFT_SOAK_SEEDS=100-150`` and
``COWSLIPSHIFT_SOAK_S=60``.
"""

from __future__ import annotations

import asyncio
import os
import random
from typing import TYPE_CHECKING

import pytest
from tests.soak import callers
from tests.soak import deployment as deployments
from tests.soak import history as histories

if TYPE_CHECKING:
    import pathlib

LENGTH_S = float(os.environ.get("COWSLIPSHIFT_SOAK_S", "20"))
FIRST_SEED, LAST_SEED = (
    int(text)
    for text in os.environ.get("COWSLIPSHIFT_SOAK_SEEDS", "1-2").split("-")
)
CALLERS = 12
WARM_UP_S = histories.CONTACT_S
MIN_PAUSE_S, MAX_PAUSE_S = 0.5, 2.0
MIN_SERVED_SHARE = 0.5
"""Below this the soak would show little."""


async def disrupt(
    deployed: deployments.Deployment, draw: random.Random, length_s: float
) -> None:
    """Begin disruptions at drawn times, and wait until all have ended."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + length_s
    async with asyncio.TaskGroup() as running:
        while loop.time() < until_s:
            running.create_task(draw.choice(deployed.disruptions)())
            await asyncio.sleep(draw.uniform(MIN_PAUSE_S, MAX_PAUSE_S))


@pytest.mark.parametrize("seed", range(FIRST_SEED, LAST_SEED + 1))
async def test_no_rule_is_broken_under_overlapping_disruptions(
    seed, tmp_path: pathlib.Path
) -> None:
    draw = random.Random(seed)
    history = histories.History()
    async with deployments.Deployment(tmp_path, draw, history) as deployed:
        running = [
            callers.Caller(
                f"c{number}",
                random.Random(f"{seed} {number}"),
                deployed.choose_host,
                history,
            )
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run()) for caller in running]
        await asyncio.sleep(WARM_UP_S)
        await disrupt(deployed, draw, LENGTH_S)
        await asyncio.sleep(1.0)
        for caller in running:
            caller.is_stopping = True
        await asyncio.gather(*tasks)
        ended = deployed.find_ended()
        found = history.judge(deployed.fleet)
    served = sum(1 for sent in history.sent if sent.status == 200)
    print(f"seed {seed}: {served} of {len(history.sent)} served")
    for disruption in history.disruptions:
        print(disruption)
    assert ended == []
    assert found == []
    assert served > MIN_SERVED_SHARE * len(history.sent)
