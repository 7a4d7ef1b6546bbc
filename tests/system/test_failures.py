"""Processes that crash, pause or stop; a store that is down or is wrong."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from cowslipshift.config import edits
from cowslipshift.standins import localfleet
from tests import builders

if TYPE_CHECKING:
    import pytest

A1, A2, S1 = "north-a-1", "north-a-2", "south-a-1"
ALL = [A1, A2, S1]


async def test_killed_and_replaced_hosts_keep_the_slot_bound(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    load = asyncio.create_task(caller.run_load(ALL, 9.0, 30))
    for host in (A1, A2):
        await asyncio.sleep(0.5)
        await fleet.kill(host)
        await asyncio.sleep(2.5)
        await fleet.start_host(host)
        await asyncio.sleep(0.5)
    codes = await load
    await caller.check_slots()
    assert codes["200"] > 300
    assert set(codes) <= {"200", "lost", "overloaded", "outcome_unknown"}


async def test_paused_host_is_fenced_and_rejoins(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    load = asyncio.create_task(caller.run_load([A2, S1], 12.0, 30))
    await asyncio.sleep(0.3)
    fleet.signal_process(A1, signal.SIGSTOP)

    async def is_removed() -> bool:
        status = await fleet.fetch_status(A2)
        return bool(status["peers"][A1] == "fenced")

    await fleet.wait_until(is_removed)
    fleet.signal_process(A1, signal.SIGCONT)
    await fleet.wait_settled(ALL)
    await load
    await caller.check_slots()
    assert (await caller.send(A1)).status == 200


async def test_planned_stop_answers_what_runs_and_hands_over(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    for server in fleet.configuration.servers:
        await fleet.set_behaviour(server.name, service_ms=300)
    running = [asyncio.create_task(caller.send(A1)) for _ in range(8)]
    await asyncio.sleep(0.1)
    assert await fleet.stop(A1) == 0
    assert {(await answer).status for answer in running} == {200}
    status = await fleet.fetch_status(A2)
    usable = {row["service"]: row["usable"] for row in status["loads"]}
    slots: dict[str, int] = {}
    for server in fleet.configuration.servers:
        if server.data_centre == "north-a":
            slots[server.service] = slots.get(server.service, 0) + server.slots
    assert usable == slots
    answer = await fleet.fetch(
        f"{fleet.hosts[A2].url}/v1/lookup?service=catalogue"
    )
    assert A1 not in [host["name"] for host in answer["hosts"]]
    await caller.check_slots()


async def test_fleet_serves_without_the_store_and_peers_teach(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await fleet.set_store_faults(down=True)
    await fleet.kill(A1)
    await fleet.start_host(A1)
    await fleet.wait_settled(ALL)
    for host in ALL:
        assert (await caller.send(host)).status == 200
    revision = (await fleet.fetch_status(A1))["revision"]
    assert revision == fleet.configuration.revision


async def test_host_without_store_and_peers_says_so(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await fleet.set_store_faults(down=True)
    for host in ALL:
        await fleet.kill(host)
    await fleet.start_host(A1)
    answer = await caller.send(A1)
    assert answer.status == 503
    assert answer.error["code"] == "no_configuration"
    assert answer.error["not_run"] is True


async def test_rubbish_and_old_configurations_change_nothing(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await fleet.set_store_faults(stale_reads=True)
    changed = await fleet.edit("test", edits.set_default("cold_ramp_s", 5))

    async def is_in_force() -> bool:
        statuses = [await fleet.fetch_status(host) for host in ALL]
        return all(s["revision"] == changed.revision for s in statuses)

    await fleet.wait_until(is_in_force)
    await fleet.kill(S1)
    await fleet.start_host(S1)
    await fleet.wait_until(is_in_force)
    await fleet.set_store_faults(stale_reads=False, rubbish=True)
    await fleet.kill(S1)
    await fleet.start_host(S1)
    await fleet.wait_until(is_in_force)
    assert (await caller.send(S1)).status == 200


async def test_host_that_knows_no_configuration_makes_none_rejoin() -> None:
    running = localfleet.LocalFleet(builders.TINY)
    try:
        await running.start([A1, S1])
        await running.start_host(A2, store="http://127.0.0.1:9")
        await running.wait_settled(ALL)
        for host in ALL:
            log = (running.directory / f"{host}.log").read_text()
            assert "event=rejoining" not in log, host
    finally:
        await running.close()


async def test_draining_server_gets_no_new_work(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await fleet.set_behaviour("catalogue-01", draining=True)
    codes = await caller.run_load(ALL, 1.0, 6)
    assert set(codes) == {"200"}
    before = (await fleet.fetch_backends())["catalogue-01"]
    assert before["turned_away"] > 0
    await caller.run_load(ALL, 1.0, 6)
    after = (await fleet.fetch_backends())["catalogue-01"]
    assert after == before


async def test_server_that_leaves_by_configuration_or_list_gets_none(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await fleet.edit(
        "test", edits.update_entry("servers", "catalogue-01", state="leaving")
    )
    url = f"{fleet.store_url}/control/hosts"
    await fleet.post(url, {"name": "catalogue-02", "state": "leaving"})
    await asyncio.sleep(3.0)
    before = await fleet.fetch_backends()
    await caller.run_load(ALL, 0.5, 6)
    after = await fleet.fetch_backends()
    for server in ("catalogue-01", "catalogue-02"):
        assert after[server]["requests"] == before[server]["requests"]
    assert after["catalogue-03"]["requests"] > 0


async def test_silent_connections_are_replaced_without_blame(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    await caller.run_load(ALL, 0.5, 12)
    await fleet.set_behaviour("catalogue-01", silent_old=True)
    codes = await caller.run_load(ALL, 2.0, 6)
    assert codes["200"] > 50
    await asyncio.sleep(1.6)
    codes = await caller.run_load(ALL, 1.0, 6)
    assert set(codes) == {"200"}
    log = "".join(
        path.read_text() for path in fleet.directory.glob("*-a-*.log")
    )
    assert "event=server_ejected" not in log


async def test_unauthenticated_peer_is_refused(
    fleet: localfleet.LocalFleet,
) -> None:
    for path in ("link", "forward/catalogue/x", "recall", "outcomes"):
        url = f"http://{fleet.hosts[A1].peer}/peer/{path}"
        headers = {"X-Peer-Credential": "north-a-2:1796365792:00"}
        method = "POST" if path in ("recall", "outcomes") else "GET"
        async with fleet.session.request(
            method, url, headers=headers
        ) as response:
            assert response.status == 401


def test_settings_name_every_fault(
    capsys: pytest.CaptureFixture[str],
) -> None:
    from cowslipshift.daemon import exceptions
    from cowslipshift.daemon import settings

    flags = {"name": "a b", "listen": "here", "nonsense": 1, "drain_s": "x"}
    try:
        settings.read_settings(flags, {"COWSLIPSHIFT_SECRET": "short"})
    except exceptions.SettingsError as error:
        named = {fault.split(":")[0] for fault in error.faults}
    assert named == {
        "--name",
        "--listen",
        "--nonsense",
        "--drain_s",
        "--secret",
        "--data_centre",
        "--region",
        "--peer_listen",
        "--store",
    }
