"""Requests on a platform with real hosts; all else is a stand-in."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import pytest

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

READ = platformfleet.READ_PATH
WRITE = platformfleet.WRITE_PATH


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet() as started:
        yield started


async def test_request_reaches_a_named_backend_unchanged(fleet) -> None:
    status, body, headers = await fleet.send_request(
        READ + "a%20b//c?x=%2F&y", request_id="odd"
    )
    assert status == 200
    (record,) = fleet.list_records("odd")
    assert record.path == READ + "a%20b//c?x=%2F&y"
    assert record.headers[names.ACCOUNT_HEADER] == platformfleet.ACCOUNT
    assert names.API_KEY_HEADER not in record.headers
    assert 0 < int(record.headers[names.DEADLINE_MS_HEADER]) <= 800
    assert body.endswith(b"ran odd")
    assert names.SIGNATURE_HEADER in headers


async def test_body_arrives_whole(fleet) -> None:
    body = bytes(range(256)) * 100
    status, _, _ = await fleet.send_request(
        WRITE + "1", method="POST", body=body, request_id="big"
    )
    assert status == 200
    assert [record.body for record in fleet.list_records("big")] == [body]


async def test_unknown_route_key_and_forged_account(fleet) -> None:
    assert (await fleet.send_request("/nowhere/1"))[0] == 404
    assert (await fleet.send_request(api_key="stolen"))[0] == 401
    assert (await fleet.send_request(api_key=""))[0] == 401
    assert sum(len(b.records) for b in fleet.backends.values()) == 0


async def test_one_object_goes_to_one_backend(fleet) -> None:
    for number in range(12):
        status, _, _ = await fleet.send_request(
            request_id=f"n{number}", affinity_key="x"
        )
        assert status == 200
    used = [b for b in fleet.backends.values() if b.records]
    assert len(used) == 1


async def test_shed_request_is_tried_elsewhere_once(fleet) -> None:
    await fleet.send_request(request_id="first", affinity_key="x")
    (first,) = [b for b in fleet.backends.values() if b.records]
    first.behaviour.shed = True
    status, body, _ = await fleet.send_request(
        request_id="second", affinity_key="x"
    )
    assert status == 200
    assert first.identity.encode() not in body


async def test_request_that_all_shed_is_refused_with_retry_after(
    fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.behaviour.shed = True
    status, _, headers = await fleet.send_request(
        WRITE + "1", method="POST", body=b"x", request_id="w"
    )
    assert status == 503
    assert 0 < float(headers["Retry-After"]) <= 2.0
    assert fleet.list_records("w") == []


@pytest.mark.parametrize("fault", ["cut_short", "crossed", "unsigned"])
async def test_spoilt_answer_is_never_passed_on(fleet, fault) -> None:
    for backend in fleet.backends.values():
        setattr(backend.behaviour, fault, True)
    status, body, headers = await fleet.send_request(
        WRITE + "1", method="POST", body=b"x", request_id="w"
    )
    assert status == 502
    assert names.SIGNATURE_HEADER not in headers
    assert b"half" not in body
    assert len(fleet.list_records("w")) == 1


async def test_silent_backend_ends_at_the_route_timeout(fleet) -> None:
    for backend in fleet.backends.values():
        backend.behaviour.silent = True
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    status, _, _ = await fleet.send_request(
        WRITE + "1", method="POST", body=b"x", request_id="w"
    )
    assert status == 504
    assert loop.time() - started_s < 1.3
    assert len(fleet.list_records("w")) == 1


async def test_caller_that_leaves_frees_the_backend(fleet) -> None:
    for backend in fleet.backends.values():
        backend.behaviour.silent = True
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.2):
            await fleet.send_request(request_id="gone")
    await platformfleet.wait_until(
        lambda: sum(b.cancelled_count for b in fleet.backends.values()) == 1
    )


async def test_draining_and_deleted_backends_get_no_new_requests(
    fleet,
) -> None:
    await fleet.send_request(request_id="first", affinity_key="x")
    (first,) = [b for b in fleet.backends.values() if b.records]
    fleet.update_backend_state(first.identity, "draining")
    await platformfleet.wait_until(
        lambda: (
            fleet.hosts[0].balancer.inventory.by_id[first.identity].is_draining
        )
    )
    _, body, _ = await fleet.send_request(
        request_id="second", affinity_key="x"
    )
    assert first.identity.encode() not in body
    second = body.split()[0].decode()
    fleet.store.delete(names.BACKEND_PREFIX + second)
    await platformfleet.wait_until(
        lambda: second not in fleet.hosts[0].balancer.inventory.by_id
    )
    _, body, _ = await fleet.send_request(request_id="third", affinity_key="x")
    assert second.encode() not in body


async def test_evacuated_data_centre_gets_nothing(fleet) -> None:
    fleet.store.put(names.EVACUATION_PREFIX + "north-a", b"{}")
    for host in fleet.hosts:
        await platformfleet.wait_until(
            lambda host=host: host.balancer.inventory.evacuated
        )
    for number in range(20):
        status, _, _ = await fleet.send_request(
            request_id=f"n{number}", affinity_key=str(number)
        )
        assert status == 200
    for identity, (_, centre) in fleet.backend_locations.items():
        if centre == "north-a":
            assert fleet.backends[identity].records == []


async def test_malformed_entries_do_not_affect_the_others(fleet) -> None:
    for number, value in enumerate(
        (
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"address": 7}',
            b'{"address":"nowhere","info":{},"status":{}}',
        )
    ):
        fleet.store.put(f"{names.BACKEND_PREFIX}bad-{number}", value)
    fleet.store.put(names.CONFIG_KEY, b'{"version":"000000')
    fleet.store.put(names.ROLLOUT_PREFIX + "sheets", b"no")
    revision = fleet.store.revision
    host = fleet.hosts[0]
    await platformfleet.wait_until(lambda: host.revision >= revision)
    assert (await fleet.send_request())[0] == 200
    assert len(host.balancer.inventory.by_id) == len(fleet.backends)


async def test_new_configuration_reaches_every_host(fleet) -> None:
    config = msgspec.json.decode(platformfleet.build_config(2))
    config["tenants"][0]["api_keys"] = ["another"]
    fleet.store.put(names.CONFIG_KEY, msgspec.json.encode(config))
    for host in fleet.hosts:
        await platformfleet.wait_until(
            lambda host=host: host.balancer.configuration.version == 2
        )
    for number in range(len(fleet.hosts)):
        assert (await fleet.send_request(host=number))[0] == 401
        assert (await fleet.send_request(host=number, api_key="another"))[
            0
        ] == 200


async def test_lookup_returns_hosts_of_the_region_and_ready_answers(
    fleet,
) -> None:
    listen = fleet.hosts[0].settings.listen
    async with fleet.session.get(
        f"http://{listen.directory}{names.RESOLVE_PATH}",
        params={"name": "x", "region": "south", "zone": "south-a"},
    ) as response:
        found = await response.json()
    assert found["addresses"] == [fleet.hosts[1].settings.listen.front]
    assert 0 < found["ttl_s"] <= 5
    async with fleet.session.get(
        f"http://{listen.ready}{names.READY_PATH}"
    ) as response:
        assert response.status == 200


async def test_host_refused_by_the_store_follows_another_host(
    fleet,
) -> None:
    host = fleet.hosts[1]
    fleet.refuse_store_calls(host)
    (identity, _) = next(iter(fleet.backend_locations.items()))
    fleet.update_backend_state(identity, "draining")
    await platformfleet.wait_until(
        lambda: host.balancer.inventory.by_id[identity].is_draining
    )


# Guards against a host that applies no configuration for as long as the store
# turns it away, because the others forget it when its registration expires.
async def test_host_without_registration_still_follows_the_others(
    fleet,
) -> None:
    host = fleet.hosts[1]
    fleet.refuse_store_calls(host)
    fleet.store.delete(names.MEMBER_PREFIX + host.settings.node_name)
    revision = fleet.store.revision
    await platformfleet.wait_until(lambda: fleet.hosts[0].revision >= revision)
    fleet.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    await platformfleet.wait_until(
        lambda: host.balancer.configuration.version == 2
    )


async def test_graceful_stop_loses_no_request(fleet) -> None:
    for backend in fleet.backends.values():
        backend.behaviour.service_s = 0.5
        backend.behaviour.warm_factor = 1.0
    running = [
        asyncio.create_task(
            fleet.send_request(
                request_id=f"s{n}",
                affinity_key=str(n),
                method="POST",
                path=WRITE + "1",
                body=b"x",
            )
        )
        for n in range(4)
    ]
    await platformfleet.wait_until(
        lambda: sum(len(b.records) for b in fleet.backends.values()) == 4
    )
    stopping = asyncio.create_task(fleet.stop_host(fleet.hosts[0]))
    answers = await asyncio.gather(*running)
    await stopping
    assert [status for status, _, _ in answers] == [200] * 4


async def test_lookup_no_longer_returns_a_killed_host(fleet) -> None:
    front = fleet.hosts[1].settings.listen.front
    await fleet.kill_host(fleet.hosts[1])
    listen = fleet.hosts[0].settings.listen

    async def is_returned() -> bool:
        async with fleet.session.get(
            f"http://{listen.directory}{names.RESOLVE_PATH}",
            params={"name": "x", "region": "south", "zone": "south-a"},
        ) as response:
            return front in (await response.json())["addresses"]

    async with asyncio.timeout(6.0):
        while await is_returned():
            await asyncio.sleep(0.05)


async def test_requests_succeed_while_the_store_fails(
    fleet,
) -> None:
    for faults in ({"rubbish": True}, {"status": 503}, {"silent": True}):
        for name, value in faults.items():
            setattr(fleet.store.faults, name, value)
        await asyncio.sleep(0.3)
        assert (await fleet.send_request(request_id=str(faults)))[0] == 200
        fleet.store.faults = type(fleet.store.faults)()
    fleet.store.put(names.EVACUATION_PREFIX + "south-a", b"{}")
    host = fleet.hosts[0]
    await platformfleet.wait_until(
        lambda: "south-a" in host.balancer.inventory.evacuated
    )


async def test_heartbeats_continue_while_the_store_delays_a_stage(
    fleet,
) -> None:
    first = fleet.hosts[0]
    second = await fleet.add_host("north-a")
    await platformfleet.wait_until(
        lambda: first.is_settled(2) and second.is_settled(2)
    )
    order = {"service": "sheets", "target_version": "v9", "ramp_s": 30.0}
    fleet.store.put(
        names.ROLLOUT_PREFIX + "sheets", msgspec.json.encode(order)
    )
    hosts = (first, second)
    await platformfleet.wait_until(
        lambda: all("sheets" in host.balancer.rollouts for host in hosts)
    )
    fleet.store.faults.silent = True
    longest_s = 0.0
    loop = asyncio.get_running_loop()
    until_s = loop.time() + 3.0
    while loop.time() < until_s:
        await asyncio.sleep(0.02)
        for host, peer in ((first, second), (second, first)):
            heard_s = host.balancer.membership.measure_silence(
                peer.settings.node_name, loop.time()
            )
            longest_s = max(longest_s, heard_s)
    assert longest_s < 0.9


async def test_metrics_count_outcomes_by_rank(fleet) -> None:
    assert (await fleet.send_request())[0] == 200
    for backend in fleet.backends.values():
        backend.behaviour.shed = True
    assert (await fleet.send_request(request_id="shed"))[0] == 503
    host = fleet.hosts[0]
    address = f"127.0.0.1:{host.settings.internal_ports[0] + 1}"
    async with fleet.session.get(f"http://{address}/metrics") as response:
        text = await response.text()
    lines = [line for line in text.splitlines() if "_total{" in line]
    answers = [line for line in lines if "answers_total" in line]
    refusals = [line for line in lines if "refusals_total" in line]
    assert any('rank="' in x and 'status="200"' in x for x in answers)
    assert any('rank="' in x and 'status="503"' in x for x in refusals)
    assert not any('rank=""' in x for x in answers + refusals)


async def test_metrics_tell_how_far_a_host_has_followed_the_store(
    fleet,
) -> None:
    fleet.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    host = fleet.hosts[1]
    await platformfleet.wait_until(
        lambda: host.balancer.configuration.version == 2
    )
    address = f"127.0.0.1:{host.settings.internal_ports[0] + 1}"
    async with fleet.session.get(f"http://{address}/metrics") as response:
        lines = (await response.text()).splitlines()
    values = {
        line.partition("{")[0]: float(line.rpartition(" ")[2])
        for line in lines
        if not line.startswith("#")
    }
    assert values["cowslipshift_config_version"] == 2
    assert 0 < values["cowslipshift_store_revision"] <= fleet.store.revision
    assert values["cowslipshift_behind_seconds"] == 0


# Guards against hosts that stop following the store, or end, because of one
# entry that another writer has left.
async def test_odd_entry_does_not_hide_what_comes_after_it(fleet) -> None:
    depth = 100_000
    fleet.store.put(
        names.BACKEND_PREFIX + "odd",
        b'{"later":' + b"[" * depth + b"]" * depth + b"}",
    )
    fleet.store.put(names.CONFIG_KEY, platformfleet.build_config(2))
    await platformfleet.wait_until(
        lambda: all(host.balancer.version == 2 for host in fleet.hosts)
    )
    status, _, _ = await fleet.send_request()
    assert status == 200


# Guards against a leaving server that gets requests again, as a write from
# before its report is executed after it.
async def test_late_write_of_a_leaving_server_brings_it_no_requests(
    fleet,
) -> None:
    identity = "orders-3"
    late = fleet.build_next_entry(identity, "ready")
    fleet.update_backend_state(identity, "draining")
    await wait_for_revision(fleet)
    fleet.store.put(names.BACKEND_PREFIX + identity, late)
    await wait_for_revision(fleet)
    for number in range(20):
        for host in range(len(fleet.hosts)):
            await fleet.send_request(
                platformfleet.WRITE_PATH + str(number),
                host,
                request_id=f"w{number}-{host}",
                method="POST",
                affinity_key=str(number),
            )
    assert fleet.backends[identity].records == []


async def wait_for_revision(fleet) -> None:
    """Wait until all hosts have applied what the store holds now."""
    revision = fleet.store.revision
    await platformfleet.wait_until(
        lambda: all(host.revision >= revision for host in fleet.hosts)
    )
