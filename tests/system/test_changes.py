"""Version moves, traffic shifts and configuration changes under load."""

from __future__ import annotations

import asyncio
import collections
import time
from typing import TYPE_CHECKING

import msgspec
import pytest_asyncio

from cowslipshift.config import editor as editors
from cowslipshift.config import edits
from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet
from cowslipshift.store import client as clients
from tests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

A1, A2, S1 = "north-a-1", "north-a-2", "south-a-1"
ALL = [A1, A2, S1]
MOVE_DURATION_S = 40.0
FAULT_LIMIT_S = 2.0
IN_FORCE_LIMIT_S = 6.0


@pytest_asyncio.fixture
async def two_versions() -> AsyncIterator[localfleet.LocalFleet]:
    """A fleet in which every second catalogue server runs version 2."""
    running = localfleet.LocalFleet(builders.TINY)
    servers = [
        msgspec.structs.replace(server, version="2")
        if server.name in ("catalogue-03", "catalogue-04")
        else server
        for server in running.configuration.servers
    ]
    running.configuration = msgspec.structs.replace(
        running.configuration, servers=tuple(servers)
    )
    try:
        await running.start()
        yield running
    finally:
        await running.close()


def build_move(**fields: object) -> model.Move:
    now_ms = int(time.time() * 1000)
    values: dict[str, object] = {
        "id": "m1",
        "service": "catalogue",
        "from_version": "1",
        "to_version": "2",
        "start_ms": now_ms,
        "end_ms": now_ms + int(MOVE_DURATION_S * 1000),
        "bake_s": 2.0,
        **fields,
    }
    return msgspec.convert(values, model.Move)


async def start_move(fleet: localfleet.LocalFleet) -> None:
    await fleet.edit("test", edits.add_entry("moves", build_move()))


async def fetch_phase(fleet: localfleet.LocalFleet, host: str) -> str:
    moves = (await fleet.fetch_status(host))["moves"]
    return str(moves[0]["phase"]) if moves else ""


async def count_requests(fleet: localfleet.LocalFleet, version: str) -> int:
    stats = await fleet.fetch_backends()
    return sum(
        row["requests"] for row in stats.values() if row["version"] == version
    )


async def test_good_version_takes_over_in_time(
    two_versions: localfleet.LocalFleet,
) -> None:
    fleet, caller = two_versions, builders.Caller(two_versions)
    await start_move(fleet)
    load = asyncio.create_task(caller.run_load(ALL, MOVE_DURATION_S, 12))

    async def is_done() -> bool:
        return {await fetch_phase(fleet, h) for h in ALL} == {"done"}

    await fleet.wait_until(is_done, MOVE_DURATION_S)
    load.cancel()
    before = await count_requests(fleet, "1")
    await caller.run_load(ALL, 0.5, 6)
    assert await count_requests(fleet, "1") == before


async def test_bad_version_gets_little_and_nothing_after_its_fault_shows(
    two_versions: localfleet.LocalFleet,
) -> None:
    fleet, caller = two_versions, builders.Caller(two_versions)
    for server in ("catalogue-03", "catalogue-04"):
        await fleet.set_behaviour(server, fail_ratio=0.7)
    await fleet.set_store_faults(down=False)
    await start_move(fleet)
    load = asyncio.create_task(caller.run_load(ALL, 30.0, 12))

    async def is_noticed() -> bool:
        phases = [await fetch_phase(fleet, host) for host in ALL]
        return "taken_back" in phases

    await fleet.wait_until(is_noticed)
    await asyncio.sleep(FAULT_LIMIT_S)
    before = await count_requests(fleet, "2")
    await asyncio.sleep(1.0)
    assert await count_requests(fleet, "2") == before
    assert {await fetch_phase(fleet, h) for h in ALL} == {"taken_back"}
    load.cancel()
    total = before + await count_requests(fleet, "1")
    assert before / total < 0.2


async def test_verdict_waits_for_the_store_and_is_exactly_one(
    two_versions: localfleet.LocalFleet,
) -> None:
    fleet, caller = two_versions, builders.Caller(two_versions)
    for server in ("catalogue-03", "catalogue-04"):
        await fleet.set_behaviour(server, fail_ratio=0.9)
    await start_move(fleet)

    async def has_move() -> bool:
        return all([await fetch_phase(fleet, host) for host in ALL])

    await fleet.wait_until(has_move)
    await fleet.set_store_faults(down=True)
    load = asyncio.create_task(caller.run_load(ALL, 30.0, 12))

    async def is_taken_back() -> bool:
        return {await fetch_phase(fleet, h) for h in ALL} == {"taken_back"}

    await fleet.wait_until(is_taken_back)
    load.cancel()
    await fleet.kill(A1)
    await fleet.start_host(A1)
    await fleet.wait_settled(ALL)
    assert await is_taken_back()
    await fleet.set_store_faults(down=False)

    async def is_recorded() -> bool:
        moves = [(await fleet.fetch_status(h))["moves"][0] for h in ALL]
        return all(move["recorded"] for move in moves)

    await fleet.wait_until(is_recorded)
    assert await is_taken_back()


async def test_drain_moves_traffic_under_its_cap(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    cap = 0.2
    shift = model.Shift(
        id="s1",
        service="catalogue",
        place="south",
        from_weight=1.0,
        to_weight=0.0,
        start_ms=int(time.time() * 1000),
        cap_per_s=0.05,
        reason="test",
        author="test",
    )
    await fleet.edit("test", edits.set_default("shift_cap_per_s", cap))
    started_s = time.time()
    shift = msgspec.structs.replace(
        shift, cap_per_s=cap, start_ms=int(started_s * 1000)
    )
    await fleet.edit("test", edits.add_entry("shifts", shift))
    windows: list[tuple[float, float]] = []
    while time.time() - started_s < 1.0 / cap + 0.5:
        counts: collections.Counter[str] = collections.Counter()
        at_s = time.time() - started_s
        for _ in range(40):
            answer = await caller.send(S1)
            assert answer.status == 200
            counts[answer.headers["X-Backend-Server"]] += 1
        stayed = counts["catalogue-02"] + counts["catalogue-04"]
        windows.append((at_s, stayed / 40))
    for at_s, stayed in windows:
        assert stayed >= 1.0 - cap * (at_s + 1.0) - 0.35, windows
    assert windows[-1][1] == 0.0
    answer = await fleet.fetch(
        f"{fleet.hosts[A1].url}/v1/lookup?service=catalogue&block=127.0.0.1"
    )
    assert answer["hosts"][0]["region"] == "north"


async def test_jump_of_traffic_is_refused(
    fleet: localfleet.LocalFleet,
) -> None:
    shift = model.Shift(
        id="s1",
        service="catalogue",
        place="south",
        from_weight=0.2,
        to_weight=0.0,
        start_ms=int(time.time() * 1000),
        cap_per_s=0.05,
        reason="test",
        author="test",
    )
    try:
        await fleet.edit("test", edits.add_entry("shifts", shift))
    except exceptions.InvalidConfigurationError as error:
        assert "would jump" in str(error)
    else:
        raise AssertionError("the jump was accepted")


async def test_two_operators_race_and_one_loses(
    fleet: localfleet.LocalFleet,
) -> None:
    store = clients.StoreClient([fleet.store_url], fleet.session)
    first = editors.Editor(store, "first")
    second = editors.Editor(store, "second")
    results = await asyncio.gather(
        first.change("one", time.time(), edits.set_default("cold_ramp_s", 1)),
        second.change("two", time.time(), edits.set_default("cold_ramp_s", 2)),
        return_exceptions=True,
    )
    lost = [r for r in results if isinstance(r, editors.ConflictError)]
    won = [r for r in results if isinstance(r, model.Configuration)]
    assert len(lost) == len(won) == 1
    assert won[0].change is not None
    assert won[0].change.author in str(lost[0])


async def test_lost_answer_is_read_back_and_applied_once(
    fleet: localfleet.LocalFleet,
) -> None:
    before = fleet.configuration.revision
    await fleet.set_store_faults(lose_writes=1)
    changed = await fleet.edit("test", edits.set_default("cold_ramp_s", 3))
    assert changed.revision == before + 1

    async def is_in_force() -> bool:
        statuses = [await fleet.fetch_status(host) for host in ALL]
        return {s["revision"] for s in statuses} == {changed.revision}

    await fleet.wait_until(is_in_force)


async def test_watches_that_go_mute_are_noticed(
    fleet: localfleet.LocalFleet,
) -> None:
    await fleet.set_store_faults(mute_watches=True)
    changed = await fleet.edit("test", edits.set_default("cold_ramp_s", 4))

    async def is_in_force() -> bool:
        statuses = [await fleet.fetch_status(host) for host in ALL]
        return {s["revision"] for s in statuses} == {changed.revision}

    await fleet.wait_until(is_in_force, IN_FORCE_LIMIT_S)


def test_shape_of_the_brief_is_valid() -> None:
    from cowslipshift.config import validation

    configuration = deployments.build_configuration(
        deployments.ANDINA, builders.UnreservedPorts()
    )
    assert not list(validation.find_faults(configuration))
