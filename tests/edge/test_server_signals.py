"""What backend servers say about themselves in their answers is obeyed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REQUESTS_PER_S = 60
CONTACT_S = 3.0
"""Time from the first answer that names a limit until the limit holds."""

LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
DRAIN_S = 2.0
PAUSE_GRACE_S = 0.5
MAX_LATE_REQUESTS = 2
"""Requests of a host that may reach a server while it wants a pause."""


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(hosts=2) as started:
        yield started


async def send_steadily(
    fleet: platformfleet.PlatformFleet, length_s: float
) -> list[int]:
    """Send requests to all hosts in turn; return the statuses."""

    async def send(number: int) -> int:
        status, _, _ = await fleet.send_request(
            host=number % len(fleet.hosts),
            request_id=f"n{number}",
            affinity_key=str(number % 40),
        )
        return status

    tasks = []
    for number in range(int(length_s * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


def find_most_requests(times_s: list[float], window_s: float) -> int:
    """Return the most requests in any window."""
    return max(
        (
            sum(1 for at_s in times_s if start_s <= at_s < start_s + window_s)
            for start_s in times_s
        ),
        default=0,
    )


# Guards against a server that gets more requests than the limit that it names,
# from all hosts together.
async def test_server_gets_no_more_than_the_limit_that_it_names(
    fleet,
) -> None:
    limit = 2.0
    server = fleet.backends[f"{platformfleet.READ_SERVICE}-1"]
    server.behaviour.limit = str(limit)
    statuses = await send_steadily(fleet, CONTACT_S + 2 * LIMIT_WINDOW_S)
    times_s = [record.arrived_s for record in server.records]
    bound = LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_SLACK
    binding = [t for t in times_s if t >= times_s[0] + CONTACT_S]
    assert find_most_requests(binding, LIMIT_WINDOW_S) <= bound
    assert binding, "it takes what it can"
    assert statuses.count(200) >= 0.98 * len(statuses)


# Guards against a server that gets requests after it has said in its answers
# that it leaves, although its entry still says that it is ready.
async def test_server_that_says_that_it_leaves_gets_no_more(fleet) -> None:
    server = fleet.backends[f"{platformfleet.READ_SERVICE}-1"]
    server.behaviour.leaving = True
    statuses = await send_steadily(fleet, DRAIN_S + 2.0)
    times_s = [record.arrived_s for record in server.records]
    assert times_s
    assert max(times_s) < times_s[0] + DRAIN_S
    assert statuses.count(200) >= 0.98 * len(statuses)


# Guards against a server that is asked again while it wants a pause, as the
# only one of its service, so that there is no other.
async def test_only_server_that_asks_for_a_pause_gets_it(fleet) -> None:
    pause_s = 3.0
    for identity in list(fleet.backends):
        if identity != f"{platformfleet.READ_SERVICE}-1":
            fleet.store.delete(names.BACKEND_PREFIX + identity)
    server = fleet.backends[f"{platformfleet.READ_SERVICE}-1"]
    await asyncio.sleep(0.5)
    server.behaviour.shed = True
    server.behaviour.wait = str(pause_s)
    statuses = await send_steadily(fleet, pause_s)
    assert set(statuses) == {503}
    late = [t for t in server.shed_s if t > server.shed_s[0] + PAUSE_GRACE_S]
    assert len(late) <= MAX_LATE_REQUESTS * len(fleet.hosts)
    status, _, headers = await fleet.send_request(request_id="refused")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) <= 1.5 * pause_s
    server.behaviour.shed = False
    await asyncio.sleep(pause_s)
    status, _, _ = await fleet.send_request(request_id="after")
    assert status == 200
