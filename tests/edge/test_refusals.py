"""Every 408, 421, 429 and 503 on a platform: its request never runs.

The servers of these tests count each request that reaches them as run,
whatever they answer.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import msgspec
import pytest
from tests.edge import faultyserver
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

PROMISES = (408, 421, 429, 503)
"""Statuses with which a host promises that the request never runs."""

COPY_LEAD_S = 0.1
"""Time between the copy of a refusal and the answer that follows it."""

SETTLE_S = 0.5
"""Longer than any attempt that is still on its way."""


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=1) as started:
        yield started


def answer_with(
    status: int, *lines: str, body: bytes = b"no", cut_bytes: int = 0
) -> Callable[[dict[str, str], int], list[faultyserver.Step]]:
    """Answer all requests with a status and further header lines.

    Args:
        status: Status of the answers.
        *lines: Header lines behind the request's id.
        body: Body of the answers.
        cut_bytes: Bytes at the end that are left out before a reset.
    """

    def script(
        headers: dict[str, str], number: int
    ) -> list[faultyserver.Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        content = faultyserver.build_plain_answer(
            status,
            f"{names.REQUEST_ID_HEADER}: {request_id}",
            *lines,
            body=body,
        )
        if cut_bytes:
            return [faultyserver.Step(content[:-cut_bytes], ends="reset")]
        return [faultyserver.Step(content)]

    return script


SIGNED = f"{names.SIGNATURE_HEADER}: s"
NOT_EXECUTED = f"{names.NOT_EXECUTED_HEADER}: 1"
RETRY_AFTER = f"{names.RETRY_AFTER_HEADER}: 1"


# Guards against REFUSED: a server runs an order and answers it with a status
# that promises the caller that it never runs.
@pytest.mark.parametrize("is_write", [True, False])
@pytest.mark.parametrize("lines", [(SIGNED,), (), (SIGNED, RETRY_AFTER)])
@pytest.mark.parametrize("status", [408, 429, 503])
async def test_status_of_a_request_that_ran_is_not_passed_on_as_a_refusal(
    fleet, status, lines, is_write
) -> None:
    service = (
        platformfleet.WRITE_SERVICE if is_write else platformfleet.READ_SERVICE
    )
    async with (
        faultyserver.FaultyServer(answer_with(status, *lines)) as first,
        faultyserver.FaultyServer(answer_with(status, *lines)) as second,
    ):
        await faultyserver.replace_servers(
            fleet, first, second, service=service
        )
        answer = await rawcaller.send_one(fleet, "w", is_write)
        ran = first.request_ids + second.request_ids
        assert ran.count("w") == (1 if is_write else 2)
        assert answer.status == 502
        assert names.SIGNATURE_HEADER.lower() not in answer.headers


# Guards against REFUSED: a server's statement that it did not run an order is
# believed although the answer contradicts it or breaks off.
@pytest.mark.parametrize(
    "script",
    [
        answer_with(200, NOT_EXECUTED, SIGNED),
        answer_with(200, NOT_EXECUTED),
        answer_with(302, NOT_EXECUTED),
        answer_with(503, NOT_EXECUTED, cut_bytes=1),
        answer_with(421, NOT_EXECUTED, cut_bytes=3),
    ],
)
async def test_contradictory_statement_of_a_server_is_no_refusal(
    fleet, script
) -> None:
    async with (
        faultyserver.FaultyServer(script) as first,
        faultyserver.FaultyServer(script) as second,
    ):
        await faultyserver.replace_servers(fleet, first, second)
        answer = await rawcaller.send_one(fleet, "w")
        assert (first.request_ids + second.request_ids).count("w") == 1
        assert answer.status == 502


# Guards against REFUSED: what the servers before it ran is forgotten when the
# last one turns a request away.
@pytest.mark.parametrize("status", [500, 503])
async def test_refusal_by_the_second_server_does_not_speak_for_the_first(
    fleet, status
) -> None:
    is_first = True

    def script(
        headers: dict[str, str], number: int
    ) -> list[faultyserver.Step]:
        nonlocal is_first
        answer = (
            answer_with(status, SIGNED)
            if is_first
            else answer_with(503, NOT_EXECUTED)
        )
        is_first = False
        return answer(headers, number)

    async with (
        faultyserver.FaultyServer(script) as first,
        faultyserver.FaultyServer(script) as second,
    ):
        await faultyserver.replace_servers(
            fleet, first, second, service=platformfleet.READ_SERVICE
        )
        answer = await rawcaller.send_one(fleet, "r", is_write=False)
        assert len(first.request_ids + second.request_ids) == 2
        assert answer.status not in PROMISES


def refuse_first_and_copy(
    status: int,
) -> Callable[[dict[str, str], int], list[faultyserver.Step]]:
    """Refuse the first request, run all others.

    The refusal's copy comes where the next answer on its connection is due.
    """

    def script(
        headers: dict[str, str], number: int
    ) -> list[faultyserver.Step]:
        request_id = headers[names.REQUEST_ID_HEADER.lower()]
        if number:
            answer = faultyserver.build_answer(request_id, b"ran")
            return [faultyserver.Step(answer, COPY_LEAD_S)]
        refusal = faultyserver.build_shed_answer(request_id, status)
        return [
            faultyserver.Step(refusal),
            faultyserver.Step(refusal, is_held=True),
        ]

    return script


# Guards against REFUSED: the copy of a refusal is taken for the answer when
# the request goes to the same address again, as a server that has started
# again is registered there under two ids.
@pytest.mark.parametrize("is_write", [True, False])
@pytest.mark.parametrize("status", [421, 429, 503])
async def test_copied_refusal_of_an_earlier_attempt_is_not_believed(
    fleet, status, is_write
) -> None:
    service = (
        platformfleet.WRITE_SERVICE if is_write else platformfleet.READ_SERVICE
    )
    async with faultyserver.FaultyServer(
        refuse_first_and_copy(status)
    ) as server:
        await faultyserver.replace_addresses(
            fleet, server.address, server.address, service=service
        )
        answer = await rawcaller.send_one(fleet, "w", is_write=is_write)
        assert server.request_ids == ["w", "w"]
        assert (answer.status, answer.body) == (200, b"ran")


# Guards against REFUSED: the same, when a caller sends a refused request again
# with its id.
@pytest.mark.parametrize("is_write", [True, False])
async def test_copied_refusal_of_a_request_sent_again_is_not_believed(
    fleet, is_write
) -> None:
    service = (
        platformfleet.WRITE_SERVICE if is_write else platformfleet.READ_SERVICE
    )
    async with faultyserver.FaultyServer(refuse_first_and_copy(503)) as server:
        await faultyserver.replace_servers(fleet, server, service=service)
        first = await rawcaller.send_one(fleet, "w", is_write=is_write)
        again = await rawcaller.send_one(fleet, "w", is_write=is_write)
        assert first.status == 503
        assert server.request_ids == ["w", "w"]
        assert (again.status, again.body) == (200, b"ran")


# Guards against MIXED: bytes that belong to no protocol spoken here are passed
# on as an answer.
async def test_switch_of_protocols_is_no_answer(fleet) -> None:
    script = answer_with(101, SIGNED, "Upgrade: x", "Connection: upgrade")
    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_servers(fleet, server)
        answer = await rawcaller.send_one(fleet, "w")
        assert server.request_ids == ["w"]
        assert answer.status in (502, 504)


async def send_refused(fleet, **options) -> rawcaller.RawAnswer:
    return await rawcaller.send_one(fleet, "w", **options)


async def refuse_without_time(fleet) -> rawcaller.RawAnswer:
    return await send_refused(fleet, deadline_ms="30")


async def refuse_without_servers(fleet) -> rawcaller.RawAnswer:
    await faultyserver.replace_addresses(fleet)
    return await send_refused(fleet)


async def refuse_unreachable_servers(fleet) -> rawcaller.RawAnswer:
    await faultyserver.replace_addresses(
        fleet,
        *(f"127.0.0.1:{port}" for port in portreservations.reserve_ports(6)),
    )
    return await send_refused(fleet)


async def refuse_over_rate(fleet) -> rawcaller.RawAnswer:
    config = msgspec.json.decode(platformfleet.build_config(2))
    config["tenants"][0].update(rate_per_s=0.01, burst=1)
    fleet.store.put(names.CONFIG_KEY, msgspec.json.encode(config))
    host = fleet.hosts[0]
    await platformfleet.wait_until(
        lambda: host.balancer.configuration.version == 2
    )
    for number in range(200):
        answer = await rawcaller.send_one(fleet, f"before-{number}")
        if answer.status == 429:
            break
    return await send_refused(fleet)


async def refuse_late_body(fleet) -> rawcaller.RawAnswer:
    async with rawcaller.RawCaller(fleet.hosts[0]) as caller:
        request = rawcaller.build_request(
            "w", is_write=True, body=b"12345", deadline_ms="300"
        )
        caller.send(request[:-2])
        answer = await caller.read_answer()
        caller.send(request[-2:])
        await asyncio.sleep(SETTLE_S)
        return answer


async def refuse_without_configuration(fleet) -> rawcaller.RawAnswer:
    fleet.store.faults.status = 503
    host = await fleet.add_host("north-a")
    async with rawcaller.RawCaller(host) as caller:
        caller.send(rawcaller.build_request("w", is_write=True))
        return await caller.read_answer()


# Guards against REFUSED: one row for each refusal of a host's own.
@pytest.mark.parametrize(
    ("refuse", "status", "codes"),
    [
        (refuse_without_time, 503, {"late"}),
        (refuse_without_servers, 503, {"no_backend"}),
        (refuse_unreachable_servers, 503, {"unreachable", "no_backend"}),
        (refuse_over_rate, 429, {"account_rate"}),
        (refuse_late_body, 408, {"body_late"}),
        (refuse_without_configuration, 503, {"no_configuration"}),
    ],
)
async def test_request_that_a_host_refuses_reaches_no_server(
    fleet, refuse, status, codes
) -> None:
    answer = await refuse(fleet)
    assert answer.status == status
    assert msgspec.json.decode(answer.body)["error"] in codes
    await asyncio.sleep(SETTLE_S)
    assert fleet.list_records("w") == []


# Guards against wrong refusals: requests that a host could not send were held
# against the quota of their account.
async def test_requests_that_no_server_ran_use_up_no_quota(fleet) -> None:
    config = msgspec.json.decode(platformfleet.build_config(2))
    config["tenants"][0].update(rate_per_s=20, burst=20)
    fleet.store.put(names.CONFIG_KEY, msgspec.json.encode(config))
    host = fleet.hosts[0]
    await platformfleet.wait_until(
        lambda: host.balancer.configuration.version == 2
    )
    script = answer_with(503, NOT_EXECUTED, f"{names.RETRY_AFTER_HEADER}: 2")
    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_servers(fleet, server)
        for number in range(300):
            answer = await rawcaller.send_one(fleet, f"w-{number}")
            assert answer.status == 503


# Guards against REFUSED: a request that waits for its turn, or for a server,
# is refused and still sent.
async def test_order_that_is_refused_for_a_pause_is_never_sent(fleet) -> None:
    script = answer_with(503, NOT_EXECUTED, f"{names.RETRY_AFTER_HEADER}: 2")
    async with faultyserver.FaultyServer(script) as server:
        await faultyserver.replace_servers(fleet, server)
        assert (await rawcaller.send_one(fleet, "first")).status == 503
        answers = await asyncio.gather(
            *(rawcaller.send_one(fleet, f"w{n}") for n in range(5))
        )
        await asyncio.sleep(SETTLE_S)
        assert {answer.status for answer in answers} == {503}
        assert server.request_ids == ["first"]


# Guards against REFUSED at a planned stop: orders that a leaving host turns
# away reach no server, those that it took end with their own outcome.
async def test_host_that_leaves_promises_only_what_never_ran(fleet) -> None:
    script = answer_with(200, SIGNED)

    def answer_late(headers, number) -> list[faultyserver.Step]:
        steps = script(headers, number)
        steps[0].delay_s = 0.4
        return steps

    async with faultyserver.FaultyServer(answer_late) as server:
        await faultyserver.replace_servers(fleet, server)
        host = fleet.hosts[0]
        async with rawcaller.RawCaller(host) as caller:
            caller.send(
                *(
                    rawcaller.build_request(f"w{n}", is_write=True)
                    for n in range(4)
                )
            )
            stopping = asyncio.create_task(host.stop())
            answers = []
            with contextlib.suppress(asyncio.IncompleteReadError):
                while len(answers) < 4:
                    answers.append(await caller.read_answer())
        await stopping
        fleet.hosts.remove(host)
        for answer in answers:
            if answer.status in PROMISES:
                assert answer.request_id not in server.request_ids
