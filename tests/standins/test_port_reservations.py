"""Ports that fleets on one machine share without a clash."""

from __future__ import annotations

import pathlib
import socket
import subprocess
import sys

from cowslipshift.standins import portreservations

RESERVE = """
import sys
from cowslipshift.standins import portreservations

print(*portreservations.reserve_ports(400), flush=True)
sys.stdin.read()
"""


def start_process() -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-c", RESERVE],
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


def test_port_in_use_is_passed_over(monkeypatch) -> None:
    (port,) = portreservations.reserve_ports(1)
    monkeypatch.setattr(portreservations, "_locks", {})
    with socket.socket() as taken:
        taken.bind((portreservations.LOOPBACK_ADDRESS, port))
        assert not portreservations._lock(port)
