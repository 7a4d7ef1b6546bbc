"""Hosts that tell each other of load, without a network."""

from __future__ import annotations

import collections
import random

import pytest
from tests import builders

from cowslipshift.edge import messages
from cowslipshift.steering import changes
from cowslipshift.workload import exchange
from cowslipshift.workload import reports
from cowslipshift.workload import room

HOSTS = 70
SERVERS = 12
INTERVAL_S = 0.7


class Fleet:
    """Hosts that hear each other's heartbeats an interval late."""

    def __init__(self, hosts: int = HOSTS) -> None:
        entries = [builders.build_backend(f"s{n}") for n in range(SERVERS)]
        members = [builders.build_member(f"h{n}") for n in range(hosts)]
        self.now = 0.0
        self.balancers = []
        for own in members:
            balancer = builders.build_balancer(own.name, backends=entries)
            for member in members:
                if member.name != own.name:
                    change = changes.MemberChange(member.name, member)
                    balancer.apply(change, 0.0)
            self.balancers.append(balancer)
        self.heartbeat_sizes: list[int] = []

    def answer(self, host: int, server: str, running: int) -> None:
        """Let a server state its load in an answer to a host."""
        balancer = self.balancers[host]
        balancer.load_exchange.record_answer(
            balancer.inventory.by_id[server],
            reports.ServerLoad(running, 0),
            self.now,
        )

    def exchange_heartbeats(self) -> None:
        sent = [b.load_exchange.list_reports(self.now) for b in self.balancers]
        self.heartbeat_sizes += [len(listed) for listed in sent]
        self.now += INTERVAL_S
        for sender, listed in enumerate(sent):
            for receiver, balancer in enumerate(self.balancers):
                if receiver != sender:
                    balancer.load_exchange.record_reports(
                        listed, self.now - INTERVAL_S
                    )

    def estimate(self, host: int, server: str) -> float:
        state = self.balancers[host].inventory.by_id[server]
        return state.estimate_load(self.now)


def test_load_is_known_to_hosts_that_get_no_answers_of_a_server() -> None:
    """Each host asks one server of twelve; s0 is busy, the others are not."""
    fleet = Fleet()
    for _ in range(8):
        for host in range(HOSTS):
            number = host % SERVERS
            fleet.answer(host, f"s{number}", 9 if number == 0 else 1)
        fleet.exchange_heartbeats()
    for host in range(1, HOSTS, 7):
        assert fleet.estimate(host, "s0") > 6.0
        assert fleet.estimate(host, "s5") < 3.0


def test_reports_stay_bounded_whatever_the_number_of_servers() -> None:
    balancer = Fleet(HOSTS).balancers[0]
    for number in range(300):
        entry = builders.build_backend(f"t{number}")
        balancer.apply(changes.BackendChange(entry.id, entry), 0.0)
        balancer.load_exchange.record_answer(
            balancer.inventory.by_id[entry.id],
            reports.ServerLoad(number % 9, 0),
            0.0,
        )
    listed = balancer.load_exchange.list_reports(0.5)
    assert len(listed) <= exchange.MAX_REPORTS
    # What differs most from what was expected is told first.
    assert {report.running for report in listed} == {8}
    assert balancer.load_exchange.list_reports(0.6) == []


def test_few_hosts_report_no_loads() -> None:
    fleet = Fleet(5)
    fleet.answer(0, "s0", 9)
    assert fleet.balancers[0].load_exchange.list_reports(0.5) == []


def test_late_reports_do_not_replace_newer_ones() -> None:
    fleet = Fleet()
    fleet.now = 10.0
    fleet.answer(0, "s0", 2)
    balancer = fleet.balancers[0]
    late = reports.ServerLoadReport(_hash(balancer, "s0"), 30, 30, 1.0)
    balancer.load_exchange.record_reports([late], 10.0)
    assert fleet.estimate(0, "s0") == pytest.approx(2.0)


def test_load_fades_when_reports_stop() -> None:
    fleet = Fleet()
    fleet.now = 1.0
    fleet.answer(0, "s0", 30)
    fleet.exchange_heartbeats()
    assert fleet.estimate(1, "s0") > 5.0
    fleet.now += 60.0
    assert fleet.estimate(1, "s0") < 1.0


def test_reports_of_unknown_servers_and_of_restarts_are_ignored() -> None:
    fleet = Fleet()
    balancer = fleet.balancers[0]
    old = reports.ServerLoadReport(_hash(balancer, "s0"), 30, 0, 0.0)
    entry = builders.build_backend("s0", started_ms=99)
    balancer.apply(changes.BackendChange("s0", entry), 0.0)
    unknown = reports.ServerLoadReport(1, 30, 0, 0.0)
    balancer.load_exchange.record_reports([old, unknown], 1.0)
    assert balancer.inventory.by_id["s0"].estimate_load(1.0) == 0.0


def test_loads_survive_the_wire() -> None:
    draw = random.Random(3)
    sent = [
        reports.ServerLoadReport(draw.getrandbits(64), n, 2 * n, n / 1000)
        for n in range(exchange.MAX_REPORTS)
    ]
    heartbeat = messages.Heartbeat(
        "h", 1, 1, 1, False, False, True, [], [], server_loads=sent
    )
    raw = messages.encode_heartbeat(heartbeat)
    assert messages.decode_heartbeat(raw).server_loads == sent
    without = messages.encode_heartbeat(
        messages.Heartbeat("h", 1, 1, 1, False, False, True, [], [])
    )
    assert len(raw) - len(without) <= 20 * exchange.MAX_REPORTS


def test_room_adds_up_slots_load_and_what_waits() -> None:
    balancer = builders.build_balancer(
        backends=[builders.build_backend(f"s{n}", slots=4) for n in range(2)]
    )
    counts = collections.Counter({"s0": 7, "s1": 1})
    for identity, state in balancer.inventory.by_id.items():
        state.in_flight = counts[identity]
    found = room.measure_room(balancer.inventory.by_id.values(), 0.0)
    assert (found.slots, found.load, found.excess) == (8, 8.0, 3.0)
    assert found.utilisation == 1.0
    assert room.measure_room([], 0.0).utilisation == 1.0


def _hash(balancer, identity: str) -> int:
    (found,) = [
        number
        for number, state in balancer.load_exchange._index_servers().items()
        if state.entry.id == identity
    ]
    return found
