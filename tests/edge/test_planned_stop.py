"""Planned stops of a host while callers send (LOST)."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import signal
from typing import TYPE_CHECKING

import pytest
from tests.edge import daemons
from tests.edge import rawcaller

from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable

SERVICE_S = 0.1
CALLERS = 16
CONNECT_LIMIT_S = 1.0
"""How long callers wait for a connection."""

ANSWERED = {"200", "504"}
"""On a busy machine the servers, which run in the test's process, may be late;
what counts here is that each request has its answer."""


@pytest.fixture
async def fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    async with platformfleet.PlatformFleet(backends=8) as started:
        for backend in started.backends.values():
            backend.behaviour.service_s = SERVICE_S
            backend.behaviour.warm_factor = 1.0
        yield started


@pytest.fixture
async def daemon(fleet, tmp_path) -> AsyncIterator[daemons.Daemon]:
    started = daemons.Daemon(fleet)
    await started.start(tmp_path, "stopped", "north-a")
    await started.wait_ready()
    yield started
    if started.process.returncode is None:
        started.process.kill()
        await started.process.wait()


class Callers:
    """Callers that send to one host until they are told to stop.

    Attributes:
        outcomes: How requests ended: a status, "refused" if there was no
            connection, "crossed" if the host closed a kept connection on
            which it had answered before, "cut" otherwise.
    """

    def __init__(self, daemon: daemons.Daemon) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.is_done = False
        self._daemon = daemon
        self._number = 0

    async def send_on_new_connections(self) -> None:
        while not self.is_done:
            try:
                async with asyncio.timeout(CONNECT_LIMIT_S):
                    caller = await rawcaller.RawCaller(
                        self._daemon
                    ).__aenter__()
            except (OSError, TimeoutError):
                self.outcomes["refused"] += 1
                await asyncio.sleep(0.02)
                continue
            await self._ask(caller, "cut")
            caller.abort()

    async def send_on_kept_connections(self) -> None:
        while not self.is_done:
            with contextlib.suppress(OSError):
                async with rawcaller.RawCaller(self._daemon) as caller:
                    broken = "cut"
                    while not self.is_done:
                        if await self._ask(caller, broken):
                            break
                        broken = "crossed"
                        await asyncio.sleep(0.01)
            await asyncio.sleep(0.02)

    async def _ask(self, caller: rawcaller.RawCaller, broken: str) -> bool:
        """Send a request; return whether the connection is at its end."""
        self._number += 1
        number = self._number
        caller.send(
            rawcaller.build_request(
                f"s{number}", number % 3 == 0, str(number % 40)
            )
        )
        try:
            answer = await caller.read_answer()
        except (OSError, EOFError, TimeoutError):
            self.outcomes[broken] += 1
            return True
        self.outcomes[str(answer.status)] += 1
        return answer.closes


async def stop_under_load(
    daemon: daemons.Daemon,
    send: Callable[[Callers], object],
    signals: int = 1,
) -> collections.Counter[str]:
    callers = Callers(daemon)
    tasks = [asyncio.create_task(send(callers)) for _ in range(CALLERS)]
    await asyncio.sleep(0.6)
    for _ in range(signals - 1):
        daemon.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
    assert await daemon.stop() == 0
    await asyncio.sleep(0.1)
    callers.is_done = True
    await asyncio.gather(*tasks)
    assert callers.outcomes["200"] > 0
    return callers.outcomes


# Guards against connections that were just accepted, or wait to be, when the
# host stops listening.
async def test_stop_cuts_no_request_on_new_connections(daemon) -> None:
    outcomes = await stop_under_load(daemon, Callers.send_on_new_connections)
    assert set(outcomes) <= ANSWERED | {"refused"}


async def test_stop_cuts_no_request_on_kept_connections(daemon) -> None:
    outcomes = await stop_under_load(daemon, Callers.send_on_kept_connections)
    assert set(outcomes) <= ANSWERED | {"refused", "crossed"}


async def test_second_sigterm_hurries_nothing(daemon) -> None:
    outcomes = await stop_under_load(
        daemon, Callers.send_on_new_connections, signals=2
    )
    assert set(outcomes) <= ANSWERED | {"refused"}


async def test_stop_while_the_store_is_silent_answers_all(
    fleet, daemon
) -> None:
    fleet.store.faults.silent = True
    outcomes = await stop_under_load(daemon, Callers.send_on_new_connections)
    assert set(outcomes) <= ANSWERED | {"refused"}


# Guards against a host that reads requests behind one that runs after SIGTERM,
# and drops them with their connection.
@pytest.mark.parametrize("is_write", [False, True])
async def test_row_read_after_sigterm_is_answered_before_the_close(
    daemon, is_write
) -> None:
    rows = [
        rawcaller.build_request(f"w{n}", is_write, affinity_key=str(n))
        for n in range(6)
    ]
    async with rawcaller.RawCaller(daemon) as caller:
        caller.send(rows[0])
        await asyncio.sleep(SERVICE_S / 2)
        daemon.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SERVICE_S / 4)
        for row in rows[1:]:
            caller.send(row)
        answers = [await caller.read_answer() for _ in rows]
        assert [a.request_id for a in answers] == [f"w{n}" for n in range(6)]
        assert {str(answer.status) for answer in answers} <= ANSWERED | {"503"}
        assert [a.closes for a in answers] == [False] * 5 + [True]
        assert await caller.read_rest() == b""
    assert await daemon.stop() == 0


async def test_half_a_request_is_answered_when_the_rest_comes(daemon) -> None:
    request = rawcaller.build_request("h", True, body=b"x" * 100)
    async with rawcaller.RawCaller(daemon) as caller:
        caller.send(request[:-60])
        await asyncio.sleep(0.2)
        daemon.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        caller.send(request[-60:])
        answer = await caller.read_answer()
        assert (answer.status, answer.closes) == (200, True)
    assert await daemon.stop() == 0


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6])
async def test_stop_in_the_first_second_ends_in_time(
    fleet, tmp_path, delay_s
) -> None:
    started = daemons.Daemon(fleet)
    await started.start(tmp_path, "early", "north-a")
    await asyncio.sleep(delay_s)
    async with asyncio.timeout(10.0):
        status = await started.stop()
    assert status in (0, -signal.SIGTERM)
    assert b"Traceback" not in started.log.read_bytes()


STOPS_ITSELF = """
import os
import signal
import aiomisc
from cowslipshift.edge import main

class Entrypoint(aiomisc.entrypoint):
    def __enter__(self):
        self.send_signal("before_start")
        loop = super().__enter__()
        self.send_signal("after_start")
        return loop

    def __exit__(self, *error):
        self.send_signal("before_stop")
        super().__exit__(*error)
        self.send_signal("after_stop")

    def send_signal(self, moment):
        if moment in {moments}:
            os.kill(os.getpid(), signal.SIGTERM)

aiomisc.entrypoint = Entrypoint
main.main()
"""


# Guards against a signal that another handler gets between the start of the
# services and the wait for signals, and that ends the process with status 1.
@pytest.mark.parametrize(
    "moments",
    [
        ["before_start"],
        ["after_start"],
        ["before_start", "after_start", "before_stop", "after_stop"],
    ],
)
async def test_stop_around_the_start_of_the_services_ends_with_zero(
    fleet, tmp_path, moments
) -> None:
    started = daemons.Daemon(fleet)
    started.program = ("-c", STOPS_ITSELF.replace("{moments}", str(moments)))
    await started.start(tmp_path, "early", "north-a")
    async with asyncio.timeout(10.0):
        assert await started.process.wait() == 0
    assert b"Traceback" not in started.log.read_bytes()


LONG_GRACE_S = 6.0
LATE_S = 2.8
"""A time at which a host that stops still takes requests."""

LONG_WORK_S = 4.0
MAX_REFUSAL_S = 0.2


@pytest.fixture
async def leaving_fleet() -> AsyncIterator[platformfleet.PlatformFleet]:
    """Hosts with a long grace, and routes that allow long work."""
    async with platformfleet.PlatformFleet() as started:
        config = platformfleet.build_config(2)
        started.store.put(
            names.CONFIG_KEY,
            config.replace(b'"timeout_ms":800', b'"timeout_ms":9000'),
        )
        for host in started.hosts:
            host.bounds = platform_settings.Bounds(grace_s=LONG_GRACE_S)
        for backend in started.backends.values():
            backend.behaviour.service_s = LONG_WORK_S
            backend.behaviour.warm_factor = 1.0
        await platformfleet.wait_until(
            lambda: all(h.balancer.version == 2 for h in started.hosts)
        )
        yield started


# Guards against requests that are taken late in the grace and cut without an
# answer at its end.
async def test_request_that_cannot_end_in_time_is_refused_at_once(
    leaving_fleet,
) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.create_task(
        leaving_fleet.stop_host(leaving_fleet.hosts[0])
    )
    address = leaving_fleet.hosts[0].settings.listen.front
    await asyncio.sleep(LATE_S)
    started_s = loop.time()
    for method in ("POST", "GET"):
        path = platformfleet.WRITE_PATH if method == "POST" else ""
        status, body, headers = await leaving_fleet.send_request(
            (path or platformfleet.READ_PATH) + "1",
            public_address=address,
            method=method,
            request_id=f"late-{method}",
            deadline_ms=9000,
        )
        assert (status, body) == (503, b'{"error":"leaving"}')
        assert "Retry-After" in headers
        assert leaving_fleet.list_records(f"late-{method}") == []
    assert loop.time() - started_s < MAX_REFUSAL_S
    await stopping


async def test_request_that_runs_past_the_grace_gets_an_answer(
    leaving_fleet,
) -> None:
    for backend in leaving_fleet.backends.values():
        backend.behaviour.service_s = 2 * LONG_GRACE_S
    asking = asyncio.create_task(
        leaving_fleet.send_request(
            platformfleet.WRITE_PATH + "1",
            method="POST",
            request_id="long",
            deadline_ms=9000,
        )
    )
    await asyncio.sleep(0.2)
    await leaving_fleet.stop_host(leaving_fleet.hosts[0])
    status, body, _ = await asking
    assert (status, body) == (504, b'{"error":"outcome_unknown"}')


PROGRAM = pathlib.Path(__file__).parents[2] / "deploy" / "steering.py"


def survives_sighup(pid: int) -> bool:
    """Tell whether a process ignores or handles SIGHUP."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = dict(
        line.split(":\t") for line in status.splitlines() if "\t" in line
    )
    bit = 1 << (signal.SIGHUP - 1)
    return bool(bit & (int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)))


# Guards against Fault: a signal that says that the settings have changed ends
# a process that is starting.
async def test_sighup_during_the_start_ends_no_process(
    fleet, tmp_path
) -> None:
    started = daemons.Daemon(fleet)
    started.program = (str(PROGRAM),)
    await started.start(tmp_path, "starting", "north-a")
    process = started.process
    await platformfleet.wait_until(lambda: survives_sighup(process.pid))
    assert b"event=started" not in started.log.read_bytes()
    async with asyncio.timeout(15.0):
        while b"event=started" not in started.log.read_bytes():
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.02)
    await started.wait_ready()
    assert await started.stop() == 0
