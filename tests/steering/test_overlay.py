"""Heartbeats between many hosts: receivers and traffic between centres."""

from __future__ import annotations

import collections

import msgspec
import pytest
from tests import builders

from cowslipshift.steering import membership as memberships
from cowslipshift.steering import overlay as overlays

CENTRES = {"n-a": "north", "n-b": "north", "s-a": "south", "s-b": "south"}


class Fleet:
    """Hosts that send and relay heartbeats, without a network.

    Attributes:
        crossings: Datagrams between data centres for the last heartbeat.
        receivers: Hosts that received the last heartbeat.
    """

    def __init__(self, hosts: int) -> None:
        names = sorted(CENTRES)
        self.members = [
            builders.build_member(
                f"h{n}",
                CENTRES[names[n % len(names)]],
                centre=names[n % len(names)],
            )
            for n in range(hosts)
        ]
        self.failed: set[str] = set()
        self.relay_counts: collections.Counter[str] = collections.Counter()
        self.crossings = 0
        self.receivers: set[str] = set()
        self.overlays: dict[str, overlays.Overlay] = {}
        self.memberships: dict[str, memberships.Membership] = {}
        for own in self.members:
            membership = memberships.Membership(own)
            for member in self.members:
                membership.set_member(member.name, member, 0.0)
                membership.record_heartbeat(member.name, 1, False, 0.0)
            self.memberships[own.name] = membership
            self.overlays[own.name] = overlays.Overlay(membership)

    def find_centre(self, name: str) -> str:
        return next(m.data_centre for m in self.members if m.name == name)

    def send_heartbeat(
        self, origin: str, sequence: int, now: float = 0.0
    ) -> None:
        """Send a heartbeat from a host and let the relays forward it."""
        self.crossings, self.receivers = 0, set()
        overlay = self.overlays[origin]
        for member in overlay.list_direct_peers():
            self._deliver(origin, member.name)
            local = self.overlays[member.name]
            if member.name not in self.failed and local.should_relay(
                sequence, now
            ):
                self._relay(member.name, now)
        if overlay.is_relay(now):
            self._relay(origin, now)

    def _relay(self, relay: str, now: float) -> None:
        number = self.relay_counts[relay]
        self.relay_counts[relay] += 1
        remote = self.overlays[relay].choose_remote_relays(number, now)
        for member in remote:
            self._deliver(relay, member.name)
            remote_overlay = self.overlays[member.name]
            if member.name in self.failed:
                continue
            assert remote_overlay.should_forward_locally(relay)
            for local in remote_overlay.list_direct_peers():
                self._deliver(member.name, local.name)

    def _deliver(self, sender: str, listener: str) -> None:
        self.crossings += self.find_centre(sender) != self.find_centre(
            listener
        )
        if listener not in self.failed:
            self.receivers.add(listener)


def test_few_hosts_send_to_all_others_directly() -> None:
    fleet = Fleet(memberships.MAX_FULL_MESH_HOSTS)
    fleet.send_heartbeat("h3", 1)
    assert len(fleet.receivers) == memberships.MAX_FULL_MESH_HOSTS - 1


@pytest.mark.parametrize("sequence", range(4))
def test_heartbeat_reaches_many_hosts_and_crosses_once_per_data_centre(
    sequence: int,
) -> None:
    fleet = Fleet(60)
    for member in fleet.members:
        fleet.send_heartbeat(member.name, sequence)
        assert fleet.receivers | {member.name} == {
            m.name for m in fleet.members
        }
        own_too = fleet.overlays[member.name].is_relay(0.0)
        assert fleet.crossings <= (len(CENTRES) - 1) * (1 + own_too)


def test_failed_relays_lose_heartbeats_but_every_host_is_heard() -> None:
    fleet = Fleet(60)
    relays = fleet.overlays["h0"].list_relays("north", 0.0)
    relays |= fleet.overlays["h0"].list_relays("south", 0.0)
    fleet.failed = {
        next(s for s in sorted(relays) if fleet.find_centre(s) == centre)
        for centre in CENTRES
    }
    alive = {m.name for m in fleet.members} - fleet.failed
    for origin in sorted(alive):
        receivers: set[str] = set()
        for sequence in range(8):
            fleet.send_heartbeat(origin, sequence)
            receivers |= fleet.receivers
        assert receivers | {origin} == alive, origin


def test_silent_relay_is_replaced() -> None:
    fleet = Fleet(60)
    overlay = fleet.overlays["h0"]
    before = overlay.list_relays("south", 0.0)
    later_s = 7.0
    for member in fleet.members:
        if member.name not in before:
            membership = fleet.memberships["h0"]
            membership.record_heartbeat(member.name, 1, False, later_s)
    after = overlay.list_relays("south", later_s)
    assert len(after) == len(before)
    assert not after & before


def test_partitioned_data_centre_still_gets_heartbeats() -> None:
    fleet = Fleet(60)
    later_s = 100.0
    chosen = fleet.overlays["h0"].choose_remote_relays(0, later_s)
    assert {m.data_centre for m in chosen} == set(CENTRES) - {"n-a"}


def test_relays_of_a_data_centre_ask_another_one() -> None:
    fleet = Fleet(60)
    by_name = {member.name: member for member in fleet.members}
    ahead = [by_name["h1"]]
    local, far = fleet.find_centre("h1"), "n-a"
    assert CENTRES[local] == CENTRES[far] and local != far
    asking = [
        name
        for name, overlay in fleet.overlays.items()
        if overlay.choose_source(ahead, 0.0, 0.0) is not None
        and fleet.find_centre(name) == far
    ]
    assert len(asking) == overlays.RELAYS_PER_DATA_CENTRE
    waiting_host = fleet.overlays["h0"]
    late = overlays.CROSS_CENTRE_DELAY_S + 0.1
    assert waiting_host.choose_source(ahead, late, 0.0) is by_name["h1"]
    ahead.append(by_name["h4"])
    assert waiting_host.choose_source(ahead, 0.0, 0.0) is by_name["h4"]


def test_hosts_that_are_equally_near_share_the_requests() -> None:
    fleet = Fleet(60)
    local = [m for m in fleet.members if m.data_centre == "n-a"]
    sources, askers = local[:3], local[3:]
    asked = collections.Counter(
        fleet.overlays[asker.name].choose_source(sources, 0.0, 0.0).name
        for asker in askers
    )
    assert len(asked) == len(sources)
    wide = [
        msgspec.structs.replace(sources[0], link_mbps=1000.0),
        *sources[1:],
    ]
    asked = collections.Counter(
        fleet.overlays[asker.name].choose_source(wide, 0.0, 0.0).name
        for asker in askers
    )
    assert asked[sources[0].name] > len(askers) / 2


def test_relay_that_is_gone_is_replaced_at_once() -> None:
    fleet = Fleet(60)
    overlay, membership = fleet.overlays["h0"], fleet.memberships["h0"]
    before = overlay.choose_remote_relays(0, 1.0)
    gone = {member.name for member in before}
    for name in gone:
        membership.record_heartbeat(name, 1, True, 1.0)
        membership.set_member(name, None, 1.0)
    after = overlay.choose_remote_relays(0, 1.0)
    assert len(after) == len(before)
    assert not {m.name for m in after} & gone


def test_relays_are_the_hosts_with_the_most_bandwidth() -> None:
    own = builders.build_member("h0")
    membership = memberships.Membership(own)
    for number in range(1, 30):
        mbps = 200.0 if number in (11, 17) else 10.0
        member = builders.build_member(f"h{number}", link_mbps=mbps)
        membership.set_member(member.name, member, 0.0)
    overlay = overlays.Overlay(membership)
    assert overlay.list_relays("north", 0.1) == {"h11", "h17"}
    membership.record_heartbeat("h17", 1, True, 0.1)
    assert "h11" in overlay.list_relays("north", 0.4)
    assert "h17" not in overlay.list_relays("north", 0.4)
