"""The part of ``make demo`` that runs on a platform's stand-ins."""

from __future__ import annotations

import collections

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

READ_COUNT = 40
OBJECT_COUNT = 8


class PlatformDemoError(Exception):
    """Something did not happen as the tour says."""


async def run_platform_demo() -> list[str]:
    """Take the tour and return what is to be said of it.

    Raises:
        PlatformDemoError: Something did not happen as the tour says.
    """
    said = ["On a platform: its store, its entries, its headers."]
    async with platformfleet.PlatformFleet(hosts=2, backends=2) as fleet:
        used: dict[str, set[str]] = collections.defaultdict(set)
        for number in range(READ_COUNT):
            thing = str(number % OBJECT_COUNT)
            status, body, _ = await fleet.call(
                host=number % 4, request_id=f"d{number}", thing=thing
            )
            _expect(status == 200, f"a read was answered with {status}")
            used[thing].add(body.split()[0].decode())
        kept = sum(len(servers) <= 2 for servers in used.values())
        said.append(
            f"  {READ_COUNT} reads of {OBJECT_COUNT} objects at four hosts: "
            f"{kept} objects stayed on one server for each asking region"
        )
        fleet.store.put(names.EVACUATION_PREFIX + "north-a", b"{}")
        for host in fleet.hosts:
            balancer = host.balancer
            await platformfleet.wait_for(
                lambda balancer=balancer: balancer.evacuated
            )
        before = _count_north(fleet)
        for number in range(OBJECT_COUNT):
            await fleet.call(request_id=f"e{number}", thing=str(number))
        _expect(_count_north(fleet) == before, "the place was not left")
        said.append("  data centre north-a evacuated: it gets nothing more")
        fleet.store.faults.silent = True
        status, _, _ = await fleet.call(request_id="without-store")
        _expect(status == 200, f"without the store: {status}")
        said.append("  the store falls silent: requests go on")
    return said


def _count_north(fleet: platformfleet.PlatformFleet) -> int:
    return sum(
        len(fleet.backends[identity].runs)
        for identity, (_, centre) in fleet.entries.items()
        if centre == "north-a"
    )


def _expect(condition: bool, text: str) -> None:
    if not condition:
        raise PlatformDemoError(text)
