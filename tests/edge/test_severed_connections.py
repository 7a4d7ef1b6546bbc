"""Open connections that fall silent for good, while new ones work."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests import silentrelay

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp import web

CONTACT_S = 3.0
"""Time after the disruption from which all bounds hold again."""

APPLY_S = 2.0
DRAIN_S = 2.0
SEND_INTERVAL_S = 0.05
ADDED_PATH = "/added/"


class RelayedFleet(platformfleet.PlatformFleet):
    """A fleet whose connections to the store and to servers can be severed."""

    def __init__(self) -> None:
        super().__init__()
        self.relays: list[silentrelay.SilentRelay] = []

    def sever(self) -> None:
        """Silence all connections that are open now."""
        for relay in self.relays:
            relay.silence()

    async def __aexit__(self, *_: object) -> None:
        """Stop all components, then the relays."""
        await super().__aexit__()
        for relay in self.relays:
            await relay.close()

    async def _serve(self, application: web.Application) -> str:
        relay = silentrelay.SilentRelay(await super()._serve(application))
        await relay.start()
        self.relays.append(relay)
        return relay.address


@pytest.fixture
async def fleet() -> AsyncIterator[RelayedFleet]:
    async with RelayedFleet() as started:
        yield started


def build_changed_config() -> bytes:
    """Return the next configuration, with one more route."""
    config: dict[str, Any] = msgspec.json.decode(platformfleet.build_config(2))
    paths = config["virtual_hosts"][0]["paths"]
    paths.append({**paths[0], "name": "added", "prefix": ADDED_PATH})
    return msgspec.json.encode(config)


class Load:
    """Requests to all hosts in turn; remembers their statuses by number."""

    def __init__(self, fleet: RelayedFleet) -> None:
        self.statuses: dict[int, int] = {}
        self._fleet = fleet
        self._tasks: list[asyncio.Task[None]] = []

    async def send_for(self, length_s: float) -> range:
        """Send requests for some time; return the numbers of those sent."""
        first = len(self._tasks)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + length_s
        while loop.time() < until_s:
            number = len(self._tasks)
            self._tasks.append(asyncio.create_task(self._send(number)))
            await asyncio.sleep(SEND_INTERVAL_S)
        return range(first, len(self._tasks))

    async def finish(self) -> None:
        """Wait for all answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, number: int) -> None:
        self.statuses[number], _, _ = await self._fleet.send_request(
            host=number % len(self._fleet.hosts),
            request_id=f"n{number}",
            affinity_key=str(number % 10),
        )


# Guards against hosts that wait on connections that are silent: to the store,
# so that they learn of a change late, or to servers, so that requests fail.
async def test_severed_connections_delay_no_change_and_fail_no_request(
    fleet,
) -> None:
    load = Load(fleet)
    await load.send_for(1.0)
    fleet.sever()
    await load.send_for(CONTACT_S)
    leaving = next(
        identity
        for identity, (service, _) in fleet.backend_locations.items()
        if service == platformfleet.READ_SERVICE
    )
    fleet.store.put(names.CONFIG_KEY, build_changed_config())
    fleet.store.delete(names.BACKEND_PREFIX + leaving)
    numbers = [*await load.send_for(max(APPLY_S, DRAIN_S))]
    before = len(fleet.backends[leaving].records)
    for host in range(len(fleet.hosts)):
        status, _, _ = await fleet.send_request(ADDED_PATH + "1", host)
        assert status == 200
    numbers += await load.send_for(1.0)
    await load.finish()
    assert len(fleet.backends[leaving].records) == before
    assert {load.statuses[number] for number in numbers} == {200}
