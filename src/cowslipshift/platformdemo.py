"""The part of ``make demo`` that runs on stand-ins of a platform."""

from __future__ import annotations

import collections

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

READ_COUNT = 40
OBJECT_COUNT = 8


class PlatformDemoError(Exception):
    """A step of the demonstration did not have the expected result."""


async def run_platform_demo() -> list[str]:
    """Run the demonstration and return the lines to print.

    Raises:
        PlatformDemoError: A step did not have the expected result.
    """
    lines = ["On a platform, with its store, entries and headers:"]
    async with platformfleet.PlatformFleet(hosts=2, backends=2) as fleet:
        servers_by_object: dict[str, set[str]] = collections.defaultdict(set)
        for number in range(READ_COUNT):
            affinity_key = str(number % OBJECT_COUNT)
            status, body, _ = await fleet.send_request(
                host=number % 4,
                request_id=f"d{number}",
                affinity_key=affinity_key,
            )
            _expect(status == 200, f"a read was answered with status {status}")
            servers_by_object[affinity_key].add(body.split()[0].decode())
        stable = sum(
            len(servers) <= 2 for servers in servers_by_object.values()
        )
        lines.append(
            f"  {READ_COUNT} reads of {OBJECT_COUNT} objects at four hosts: "
            f"{stable} objects stayed on one server per client region"
        )
        fleet.store.put(names.EVACUATION_PREFIX + "north-a", b"{}")
        await platformfleet.wait_until(
            lambda: all(
                host.balancer.inventory.evacuated for host in fleet.hosts
            )
        )
        before = _count_north_requests(fleet)
        for number in range(OBJECT_COUNT):
            await fleet.send_request(
                request_id=f"e{number}", affinity_key=str(number)
            )
        _expect(
            _count_north_requests(fleet) == before,
            "an evacuated data centre got requests",
        )
        lines.append(
            "  data centre north-a is evacuated: it gets no more requests"
        )
        fleet.store.faults.silent = True
        status, _, _ = await fleet.send_request(request_id="without-store")
        _expect(status == 200, f"status {status} without the store")
        lines.append("  the store stops answering: requests are still served")
    return lines


def _count_north_requests(fleet: platformfleet.PlatformFleet) -> int:
    return sum(
        len(fleet.backends[identity].records)
        for identity, (_, centre) in fleet.backend_locations.items()
        if centre == "north-a"
    )


def _expect(condition: bool, text: str) -> None:
    if not condition:
        raise PlatformDemoError(text)
