"""Ports that fleets on one machine share without a clash."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

from tests import builders
from tests.edge import daemons

from cowslipshift.standins import localfleet
from cowslipshift.standins import platformfleet
from cowslipshift.standins import portreservations

RESERVE = """
import sys
from cowslipshift.standins import portreservations

print(*portreservations.reserve_ports(400), flush=True)
sys.stdin.read()
"""

RESERVE_AND_RELEASE = """
import socket
from cowslipshift.standins import portreservations

portreservations.LAST_PORT = portreservations.FIRST_PORT + 20
for _ in range(300):
    ports = portreservations.reserve_ports(3, consecutive=2)
    for port in ports:
        with socket.socket() as owner:
            owner.bind((portreservations.LOOPBACK_ADDRESS, port))
    portreservations.release_ports(ports)
"""

RANGE_LENGTH = 200
FLEETS = 40


def start_process(program: str = RESERVE) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-c", program],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )


def read_ports(process: subprocess.Popen[str]) -> set[int]:
    assert process.stdout is not None
    return {int(text) for text in process.stdout.readline().split()}


# Guards against test runs side by side of which one reaches the other's
# store, or finds its port in use.
def test_processes_side_by_side_reserve_different_ports() -> None:
    processes = [start_process() for _ in range(4)]
    reserved = [read_ports(process) for process in processes]
    for process in processes:
        process.communicate()
    assert [len(row) for row in reserved] == [400] * 4
    assert len(set.union(*reserved)) == 1600


def test_reserved_ports_are_not_given_to_outgoing_connections() -> None:
    path = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")
    first_outgoing = int(path.read_text().split()[0])
    assert max(portreservations.reserve_ports(50)) < first_outgoing


def test_first_ports_follow_each_other() -> None:
    reserved = portreservations.reserve_ports(5, consecutive=2)
    assert len(set(reserved)) == 5
    assert reserved[1] == reserved[0] + 1


# Guards against long test runs that find no port any more.
async def test_many_fleets_fit_in_a_narrow_range(
    monkeypatch, tmp_path
) -> None:
    last = portreservations.FIRST_PORT + RANGE_LENGTH
    monkeypatch.setattr(portreservations, "LAST_PORT", last)
    for _ in range(FLEETS):
        fleet = localfleet.LocalFleet(builders.TINY, directory=str(tmp_path))
        await fleet.close()


async def test_closed_fleet_of_a_platform_keeps_no_port(tmp_path) -> None:
    before = set(portreservations._locks)
    async with platformfleet.PlatformFleet() as fleet:
        daemon = daemons.Daemon(fleet)
        await daemon.start(tmp_path, "host-9", "north-a")
        await daemon.stop()
        assert set(portreservations._locks) > before
    assert set(portreservations._locks) == before


# Guards against two runs that take the same port, and against rows that do
# not fit and keep a part of their ports.
def test_released_ports_have_one_owner_at_a_time() -> None:
    processes = [start_process(RESERVE_AND_RELEASE) for _ in range(4)]
    for process in processes:
        process.communicate()
    assert [process.returncode for process in processes] == [0] * 4


def test_port_in_use_is_passed_over() -> None:
    (port,) = portreservations.reserve_ports(1)
    portreservations.release_ports([port])
    with socket.socket() as taken:
        taken.bind((portreservations.LOOPBACK_ADDRESS, port))
        assert not portreservations._lock(port)
