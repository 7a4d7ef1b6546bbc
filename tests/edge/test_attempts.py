"""What a host records of attempts: in its log, and about servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import pytest
from tests.edge import faultyserver
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.telemetry import explanation

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


# Guards against a log that blames the connection of another attempt.
async def test_each_line_names_the_connection_of_its_own_attempt(
    fleet,
) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        if number:
            return [
                faultyserver.Step(faultyserver.build_shed_answer(request_id))
            ]
        answer = faultyserver.build_answer(request_id, b"bad", 500)
        return [faultyserver.Step(answer)]

    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_addresses(
            fleet,
            server.address,
            server.address,
            service=platformfleet.READ_SERVICE,
        )
        handler = logbook.TestHandler(level=logbook.DEBUG)
        with handler.applicationbound():
            answer = await rawcaller.send_one(fleet, "w", is_write=False)
        assert answer.status == 500
        assert server.carriers == [1, 2]
        address = server.address
    lines = {
        line.event: line.fields
        for line in (
            explanation.parse_line(f"time=0 {record.message}")
            for record in handler.records
        )
        if line is not None and line.fields.get("id") == "w"
    }
    shed, answered = lines["attempt_shed"], lines["answered"]
    assert shed["backend"] != answered["backend"]
    assert int(shed["connection"]) == int(answered["connection"]) + 1
    assert shed["carried"] == answered["carried"] == "0"
    assert shed["address"] == answered["address"] == address


# Guards against a load that is believed of a server which did not state it.
async def test_load_that_another_server_states_is_not_recorded(fleet) -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        answer = faultyserver.build_plain_answer(
            421,
            f"{names.REQUEST_ID_HEADER}: {request_id}",
            f"{names.LOAD_HEADER}: 900,90,8",
        )
        return [faultyserver.Step(answer)]

    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_servers(fleet, server)
        await rawcaller.send_one(fleet, "w", is_write=True)
        balancer = fleet.hosts[0].balancer
        (state,) = balancer.inventory.list_servers(platformfleet.WRITE_SERVICE)
        now = asyncio.get_running_loop().time()
        assert state.estimate_load(now) < 1.0
