"""Requests through real daemons: validation, keys, at-most-once runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cowslipshift.config import edits
from tests import builders

if TYPE_CHECKING:
    from cowslipshift.standins import localfleet

A1, A2, S1 = "north-a-1", "north-a-2", "south-a-1"
KEY_LIMIT_S = 2.0


async def test_request_is_answered_through_any_host(
    caller: builders.Caller,
) -> None:
    for host in (A1, A2, S1):
        answer = await caller.send(host, body=b"hello", method="POST")
        assert (answer.status, answer.body) == (200, b"hello")


async def test_bad_requests_get_codes_and_run_nothing(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    timeout = "X_Request_Timeout_Ms"
    key = builders.make_key()
    cases = [
        ({"service": "nope"}, 404, "service_unknown"),
        ({"path": "/../x"}, 400, "path_malformed"),
        ({"path": "/%2e%2e/x"}, 400, "path_malformed"),
        ({"account": "nobody"}, 401, "key_invalid"),
        ({"path": "/x?k=workshop-key"}, 400, "key_in_path"),
        ({timeout: "soon"}, 400, "deadline_malformed"),
        ({timeout: "-1"}, 400, "deadline_malformed"),
        ({timeout: "0"}, 400, "deadline_malformed"),
        ({timeout: "999999"}, 400, "deadline_too_long"),
        ({"method": "TRACE"}, 405, "method_unknown"),
        ({"body": b"x" * 9_000_000, "method": "POST"}, 413, "body_too_large"),
        (
            {"service": "approvals", "method": "POST"},
            400,
            "idempotency_key_missing",
        ),
        (
            {"service": "approvals", "Idempotency_Key": "abc"},
            400,
            "idempotency_key_malformed",
        ),
        (
            {"service": "approvals", "Idempotency_Key": key + "\t x"},
            400,
            "idempotency_key_malformed",
        ),
    ]
    for fields, status, code in cases:
        answer = await caller.send(A1, **fields)
        assert (answer.status, answer.error["code"]) == (status, code), fields
        assert answer.error["not_run"] is True
    stats = await fleet.fetch_backends()
    assert all(row["requests"] == 0 for row in stats.values())


async def test_raw_smuggling_shapes_are_refused(
    fleet: localfleet.LocalFleet,
) -> None:
    address = fleet.hosts[A1].url.removeprefix("http://")
    host, port = address.split(":")
    head = "GET /v1/services/catalogue/x HTTP/1.1\r\nHost: a\r\n"
    shapes = [
        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd",
        head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        head + "X-A: b\x00c\r\n\r\n",
        "GET /v1/services/catalogue/x HTTP/9.9.9\r\n\r\n",
    ]
    for shape in shapes:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(shape.encode("latin-1"))
        first = await asyncio.wait_for(reader.readline(), 5)
        assert first.split()[1:2] == [b"400"], shape
        writer.close()
    stats = await fleet.fetch_backends()
    assert all(row["requests"] == 0 for row in stats.values())


async def test_key_reaches_no_server_in_any_header(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    secret = f"{builders.ACCOUNT}-key"
    answer = await caller.send(
        A1,
        Cookie=f"k={secret}",
        X_Api_Key=secret,
        User_Agent=f"till {secret}",
        Traceparent="00-1-2-3",
    )
    assert answer.status == 200
    rows = [
        row
        for rows in (await fleet.fetch_backends("records")).values()
        for row in rows
    ]
    assert len(rows) == 1
    assert secret not in str(rows)
    seen = {name.lower(): value for name, value in rows[0]["headers"].items()}
    assert seen["traceparent"] == "00-1-2-3"
    assert int(seen["x-request-timeout-ms"]) <= 1_500


async def test_withdrawn_key_stops_on_all_hosts_and_open_connections(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    for host in (A1, A2, S1):
        assert (await caller.send(host)).status == 200
    await fleet.edit(
        "test",
        edits.update_entry("keys", f"{builders.ACCOUNT}-1", state="withdrawn"),
    )
    loop = asyncio.get_running_loop()
    until_s = loop.time() + KEY_LIMIT_S
    left = {A1, A2, S1}
    while left:
        assert loop.time() < until_s, left
        for host in sorted(left):
            if (await caller.send(host)).status == 401:
                left.discard(host)


async def test_open_route_needs_no_key(
    fleet: localfleet.LocalFleet,
) -> None:
    url = f"{fleet.hosts[A1].url}/v1/services/catalogue/open/x"
    async with fleet.session.get(url) as response:
        assert response.status == 200


async def test_order_resent_to_all_hosts_runs_once(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    key = builders.make_key("north-a")
    answers = await asyncio.gather(
        *(caller.order(host, key) for host in (A1, A2, S1, A1, A2, S1))
    )
    assert {(a.status, a.body) for a in answers} == {(200, b"1")}
    assert await count_runs(fleet, key) == 1
    other = await caller.order(A2, key, body=b"2")
    assert other.error["code"] == "idempotency_key_reused"


async def test_order_survives_a_caller_that_goes_away(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    for server in ("approvals-01", "approvals-02"):
        await fleet.set_behaviour(server, service_ms=400)
    key = builders.make_key("north-a")
    sending = asyncio.create_task(caller.order(A1, key))
    await asyncio.sleep(0.2)
    sending.cancel()
    answer = await caller.order(A2, key)
    assert answer.status == 200
    assert await count_runs(fleet, key) == 1


async def test_order_whose_home_died_is_unknown_never_run_twice(
    fleet: localfleet.LocalFleet, caller: builders.Caller
) -> None:
    keys = [builders.make_key("north-a") for _ in range(12)]
    for key in keys:
        assert (await caller.order(S1, key)).status == 200
    await fleet.kill(A1)
    await asyncio.sleep(0.5)
    await fleet.start_host(A1)
    await fleet.wait_settled(list(fleet.hosts))
    codes = set()
    for key in keys:
        answer = await caller.order(S1, key)
        code = "200" if answer.status == 200 else answer.error["code"]
        codes.add(code)
        assert await count_runs(fleet, key) == 1, code
    assert codes <= {"200", "outcome_unknown", "key_home_moving"}


async def count_runs(fleet: localfleet.LocalFleet, key: str) -> int:
    records = await fleet.fetch_backends("records")
    return sum(
        row["idempotency_key"] == key
        for rows in records.values()
        for row in rows
    )
