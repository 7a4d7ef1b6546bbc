"""Usage reports of real processes, of which the holder is killed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import daemons

from cowslipshift.duties import model
from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

BOUNDS = ', "report_window_s=1", "usage_late_s=2", "lease_ms=1000"'
TABLE = """
[cloud]
address = "{address}"
rate_per_s = 50.0
duties = ["usage_report"]
duty_per_s = 50.0
"""
WAIT_LIMIT_S = 40.0


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


@pytest.fixture
async def hosts(fleet, tmp_path) -> AsyncIterator[dict[str, daemons.Daemon]]:
    table = TABLE.format(address=await fleet.open_duties_port())
    started = {}
    for name, centre in (("one", "north-a"), ("two", "south-a")):
        host = started[name] = daemons.Daemon(fleet)
        host.bounds, host.tables = BOUNDS, table
        await host.start(tmp_path, name, centre)
    for host in started.values():
        await host.wait_ready()
    yield started
    for host in started.values():
        if host.process.returncode is None:
            host.process.kill()
            await host.process.wait()


async def wait_until(condition: Callable[[], object]) -> None:
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not condition():
            await asyncio.sleep(0.02)


def read_record(fleet: platformfleet.PlatformFleet) -> model.Record | None:
    raw = fleet.store.get(names.DUTY_RECORD_KEY)
    return None if raw is None else msgspec.json.decode(raw, type=model.Record)


# Guards against a second report with other counts, after a holder that died
# when its report was fixed and not sent.
async def test_report_of_a_killed_holder_is_sent_as_it_was_fixed(
    fleet, hosts
) -> None:
    fleet.duties.status = 503
    sent = 0

    def find_fixed() -> list[model.UsageReport]:
        record = read_record(fleet)
        return (
            [] if record is None else [r for r in record.reports if r.counts]
        )

    async with asyncio.timeout(WAIT_LIMIT_S):
        while not find_fixed():
            sent += 1
            for number, host in enumerate(hosts.values()):
                await fleet.send_request(
                    public_address=host.front, request_id=f"r{sent}-{number}"
                )
            await asyncio.sleep(0.05)
    record = read_record(fleet)
    fixed = find_fixed()[0]
    holder = record.holder
    hosts[holder.host].process.kill()
    await hosts[holder.host].process.wait()
    fleet.duties.status = 0
    await wait_until(
        lambda: any(
            call.report.window > fixed.window
            for call in fleet.duties.list_accepted()
        )
    )
    calls = fleet.duties.list_accepted()
    assert all(call.token > holder.token for call in calls)
    assert {call.host for call in calls} == set(hosts) - {holder.host}
    contents = [
        call.report for call in calls if call.report.window == fixed.window
    ]
    assert contents
    assert all(content == fixed for content in contents)


async def test_requests_are_reported_once_whichever_host_served_them(
    fleet, hosts
) -> None:
    await wait_until(lambda: read_record(fleet) is not None)
    for number in range(12):
        host = list(hosts.values())[number % 2]
        await fleet.send_request(
            public_address=host.front, request_id=f"r{number}"
        )
    ran = sum(len(b.records) for b in fleet.backends.values())

    def count_reported() -> int:
        reports = {
            call.report.window: call.report
            for call in fleet.duties.list_accepted()
        }
        return sum(
            report.counts.get(platformfleet.ACCOUNT, 0)
            for report in reports.values()
        )

    await wait_until(lambda: count_reported() >= ran)
    assert count_reported() == ran


async def test_hosts_without_the_table_write_nothing() -> None:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        await fleet.send_request()
        assert fleet.store.get(names.DUTY_RECORD_KEY) is None
        assert not fleet.duties.calls
