"""Heartbeats between many hosts, with datagrams delivered in memory."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from tests import builders

from cowslipshift.edge import exceptions
from cowslipshift.edge import heartbeats
from cowslipshift.edge import messages
from cowslipshift.edge import replica as replicas
from cowslipshift.edge import watcher as watchers
from cowslipshift.steering import changes
from cowslipshift.steering import model
from cowslipshift.steering import overlay as overlays
from cowslipshift.steering import rollouts

CENTRES = {"north-a": "north", "south-a": "south", "west-a": "west"}
TICK_S = 0.1


class Clock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds


class Watcher:
    is_watching = False
    is_store_reachable = True

    def __init__(self) -> None:
        self.replica = replicas.StoreReplica()
        self.heard: list[messages.Heartbeat] = []
        self.proofs: list[tuple[int, float]] = []
        self.current_s = 0.0

    def record_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        self.heard.append(heartbeat)

    def record_proof(self, revision: int, as_of_s: float) -> None:
        self.proofs.append((revision, as_of_s))

    def measure_age(self, now: float) -> float:
        return now - self.current_s


class Fleet:
    """Hosts whose datagrams are delivered at once, unless they are lost.

    Attributes:
        crossed_bytes: Bytes sent between data centres.
        dead: Hosts that neither send nor receive.
        cut_centres: Data centres that do not reach each other.
        loss: Fraction of the datagrams that is lost.
    """

    def __init__(self, hosts: int) -> None:
        self.clock = Clock()
        self.dead: set[str] = set()
        self.cut_centres: set[str] = set()
        self.loss = 0.0
        self.crossed_bytes = 0
        self.draw = random.Random(1)
        names = sorted(CENTRES)
        self.centres = {f"h{n}": names[n % 3] for n in range(hosts)}
        self.hosts = {name: self.build_host(name) for name in self.centres}

    def build_host(
        self, name: str, own: model.Member | None = None
    ) -> heartbeats.HeartbeatExchange:
        balancer = builders.build_balancer(
            name, CENTRES[self.centres[name]], own=own
        )
        for peer, centre in self.centres.items():
            member = builders.build_member(peer, CENTRES[centre], centre)
            balancer.apply(changes.MemberChange(peer, member), 0.0)
        return heartbeats.HeartbeatExchange(
            self.clock,
            balancer,
            Watcher(),
            GossipSocket(self, name),
            overlays.Overlay(balancer.membership),
        )

    def deliver(
        self,
        sender: str,
        batch: list[messages.EncodedHeartbeat],
        to: str,
    ) -> None:
        raw = messages.encode_bundle(messages.Bundle(sender, batch))
        if self.centres[sender] != self.centres[to]:
            self.crossed_bytes += len(raw)
        ends = {self.centres[sender], self.centres[to]}
        if len(ends) == 2 and ends <= self.cut_centres:
            return
        if not {sender, to} & self.dead and self.draw.random() >= self.loss:
            self.hosts[to].receive(messages.decode_bundle(raw))

    def run(self, length_s: float) -> None:
        for _ in range(round(length_s / TICK_S)):
            self.clock.seconds += TICK_S
            for name, host in self.hosts.items():
                if name not in self.dead:
                    host.tick(self.clock.seconds)

    def count_unheard(self) -> int:
        """Return pairs of living hosts of which one thinks the other dead."""
        alive = self.hosts.keys() - self.dead
        unheard = 0
        for name in alive:
            membership = self.hosts[name]._membership
            live = membership.list_live(self.clock.seconds)
            unheard += len(alive - {member.name for member in live})
        return unheard


class GossipSocket:
    def __init__(self, fleet: Fleet, name: str) -> None:
        self._fleet = fleet
        self._name = name

    def send(
        self,
        batch: list[messages.EncodedHeartbeat],
        addresses: list[str],
    ) -> None:
        for address in addresses:
            to = address.partition(":")[0]
            self._fleet.deliver(self._name, batch, to)


@pytest.mark.parametrize("hosts", [12, 45])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_all_hosts_keep_hearing_each_other(hosts: int, loss: float) -> None:
    fleet = Fleet(hosts)
    fleet.loss = loss
    for _ in range(20):
        fleet.run(2.0)
        assert fleet.count_unheard() == 0


def test_few_heartbeat_bytes_cross_data_centres() -> None:
    """Compares with full mesh, whose interval grows with the hosts."""
    fleet = Fleet(45)
    fleet.run(5.0)
    fleet.crossed_bytes = 0
    fleet.run(20.0)
    raw = messages.encode_heartbeat(fleet.hosts["h0"]._build(0.0, False))
    to_others = 30 * len(raw) * 20.0 / (0.4 * 45 / 20)
    assert fleet.crossed_bytes < 0.25 * 45 * to_others


def test_hosts_stay_alive_when_several_relays_die_together() -> None:
    fleet = Fleet(45)
    fleet.run(5.0)
    overlay = fleet.hosts["h0"]._overlay
    now = fleet.clock.seconds
    fleet.dead = {
        sorted(overlay.list_relays(region, now))[0]
        for region in CENTRES.values()
    }
    for _ in range(10):
        fleet.run(1.0)
        assert fleet.count_unheard() == 0


def test_data_centre_that_was_cut_off_is_alive_again() -> None:
    fleet = Fleet(45)
    fleet.run(5.0)
    fleet.dead = {n for n, centre in fleet.centres.items() if centre < "s"}
    fleet.run(20.0)
    fleet.dead = set()
    fleet.run(5.0)
    assert fleet.count_unheard() == 0


# The pattern `bridge_cut`: two data centres do not reach each other while a
# third one reaches both.
@pytest.mark.parametrize("hosts", [12, 45])
def test_cut_between_two_data_centres_leaves_the_third_in_touch(
    hosts: int,
) -> None:
    fleet = Fleet(hosts)
    fleet.run(5.0)
    first, second, third = sorted(CENTRES)
    fleet.cut_centres = {first, second}
    fleet.run(20.0)
    for name, host in fleet.hosts.items():
        live = host._membership.list_live(fleet.clock.seconds)
        heard = {fleet.centres[member.name] for member in live}
        if fleet.centres[name] == third:
            assert len(live) == hosts
        else:
            assert heard == {fleet.centres[name], third}
    fleet.cut_centres = set()
    fleet.run(5.0)
    assert fleet.count_unheard() == 0


def test_urgent_heartbeat_is_relayed_early() -> None:
    fleet = Fleet(45)
    fleet.run(5.0)
    relays = {
        name
        for name, host in fleet.hosts.items()
        if host._overlay.is_relay(fleet.clock.seconds)
    }
    sender = next(n for n in sorted(fleet.hosts) if n not in relays)
    heard_elsewhere = [
        host._watcher.heard
        for name, host in fleet.hosts.items()
        if fleet.centres[name] != fleet.centres[sender]
    ]
    for heard in heard_elsewhere:
        heard.clear()
    fleet.hosts[sender].send(fleet.clock.seconds, is_urgent=True)
    fleet.run(0.5)
    for heard in heard_elsewhere:
        assert any(
            heartbeat.host == sender and heartbeat.is_urgent
            for heartbeat in heard
        )


def test_delayed_heartbeat_does_not_override_a_newer_one() -> None:
    fleet = Fleet(3)
    fleet.run(1.0)
    membership = fleet.hosts["h0"]._membership
    old = messages.EncodedHeartbeat(
        messages.encode_heartbeat(fleet.hosts["h1"]._build(1.0, False))
    )
    fleet.hosts["h1"].is_leaving = True
    fleet.hosts["h1"].send(fleet.clock.seconds)
    fleet.hosts["h0"].receive(messages.Bundle("h1", [old]))
    usable = membership.list_usable(fleet.clock.seconds)
    assert "h1" not in {member.name for member in usable}


async def test_host_that_did_not_answer_is_not_asked_for_changes_again() -> (
    None
):
    """A near host does not answer; a far host has the same revision."""
    fleet = Fleet(45)
    balancer = builders.build_balancer("h0")
    for peer, centre in fleet.centres.items():
        member = builders.build_member(peer, CENTRES[centre], centre)
        balancer.apply(changes.MemberChange(peer, member), 0.0)
    asked: list[str] = []

    class Client:
        async def fetch_changes(
            self, address: str, after: int
        ) -> messages.Changes:
            asked.append(address.partition(":")[0])
            if asked[-1] == "h3":
                raise exceptions.PeerError("no answer")
            return messages.Changes(9, False, ())

    watcher = watchers.Watcher(
        fleet.clock,
        None,
        balancer.membership,
        overlays.Overlay(balancer.membership),
        Client(),
        lambda item: False,
        lambda: None,
        lambda: None,
    )
    heartbeat = fleet.hosts["h3"]._build(0.0, False)
    for host in ("h3", "h1", "h1", "h1"):
        watcher.record_heartbeat(
            msgspec.structs.replace(heartbeat, host=host, revision=9)
        )
        fleet.clock.seconds += 0.5
        await asyncio.sleep(2 * watchers.SOURCE_POLL_INTERVAL_S)
    assert asked == ["h3", "h1"]
    assert watcher.replica.revision == 9


# Guards against a host that nobody hears because its time of day jumped back
# before it started again, so that its incarnation has a smaller number.
@pytest.mark.parametrize("hosts", [6, 45])
def test_host_that_starts_again_with_an_earlier_clock_is_heard(
    hosts: int,
) -> None:
    fleet = Fleet(hosts)
    for incarnation in (9_000, 5_000):
        own = msgspec.structs.replace(
            builders.build_member(
                "h1", CENTRES[fleet.centres["h1"]], fleet.centres["h1"]
            ),
            incarnation=incarnation,
        )
        fleet.hosts["h1"] = fleet.build_host("h1", own)
        for name, host in fleet.hosts.items():
            if name != "h1":
                host._balancer.apply(
                    changes.MemberChange("h1", own), fleet.clock.seconds
                )
        fleet.run(8.0)
        assert fleet.count_unheard() == 0


# Guards against Fault: 49.7 days after an order no host can encode its
# heartbeat any more, so that its ticks end.
def test_time_since_an_old_order_does_not_end_heartbeats() -> None:
    report = messages.RolloutReport(
        "s", 7, rollouts.Counts(1), False, 60 * 86_400.0, "v2"
    )
    heartbeat = messages.Heartbeat(
        "h1", 1, 1, 9, False, False, True, [], [report]
    )
    raw = messages.encode_heartbeat(heartbeat)
    (found,) = messages.decode_heartbeat(raw).reports
    assert found.elapsed_s * messages.MS_PER_S == messages.MAX_ELAPSED_MS
    assert (found.order, found.version) == (7, "v2")
