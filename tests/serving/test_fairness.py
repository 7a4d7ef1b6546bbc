"""Fairness between accounts and deadlines in the queue and bulkhead."""

from __future__ import annotations

import asyncio
import collections

import pytest

from cowslipshift.serving import refusals
from cowslipshift.serving.backend import fairqueue
from cowslipshift.serving.entry import bulkhead


async def test_waiting_accounts_are_served_by_weight() -> None:
    queue = fairqueue.FairQueue()
    for _ in range(90):
        queue.push("loud", 0.2, 10.0)
    for _ in range(30):
        queue.push("quiet", 0.1, 10.0)
    served: collections.Counter[str] = collections.Counter()
    for _ in range(45):
        waiter = queue.pop(0.0)
        assert waiter is not None
        served[waiter.account] += 1
        waiter.ready.cancel()
    assert served == {"loud": 30, "quiet": 15}


async def test_late_account_does_not_wait_behind_a_backlog() -> None:
    queue = fairqueue.FairQueue()
    for _ in range(100):
        queue.push("loud", 0.1, 10.0)
    for _ in range(20):
        queue.pop(0.0)
    queue.push("quiet", 0.1, 10.0)
    order = [queue.pop(0.0) for _ in range(2)]
    assert "quiet" in [waiter.account for waiter in order if waiter]


async def test_waiters_past_their_deadline_are_dropped() -> None:
    queue = fairqueue.FairQueue()
    late = queue.push("a", 0.1, 1.0)
    live = queue.push("a", 0.1, 5.0)
    assert queue.pop(2.0) is live
    with pytest.raises(TimeoutError):
        late.ready.result()
    assert len(queue) == 0


async def test_one_account_cannot_fill_the_queue() -> None:
    queue = fairqueue.FairQueue()
    while queue.allows("loud", 0.9, 64):
        queue.push("loud", 0.9, 10.0)
    assert len(queue) == 32
    assert queue.allows("quiet", 0.01, 64)


async def test_bulkhead_bounds_one_account_and_passes_places_on() -> None:
    gate = bulkhead.Bulkhead(limit=2)
    running = most = 0

    async def work() -> None:
        nonlocal running, most
        async with gate.enter("a", 5.0):
            running += 1
            most = max(most, running)
            await asyncio.sleep(0)
            running -= 1

    await asyncio.gather(*(work() for _ in range(20)))
    assert most == 2
    async with gate.enter("b", 0.0):
        pass


async def test_bulkhead_refuses_as_not_run_after_the_deadline() -> None:
    gate = bulkhead.Bulkhead(limit=1)
    async with gate.enter("a", 1.0):
        with pytest.raises(refusals.Refusal) as caught:
            async with gate.enter("a", 0.0):
                raise AssertionError("the place was taken")
    assert caught.value.not_run
    async with gate.enter("a", 1.0):
        pass
