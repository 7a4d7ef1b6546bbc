"""Words between many hosts: who hears them, and how many cross over."""

from __future__ import annotations

import collections

import pytest
from tests import builders

from cowslipshift.steering import membership as memberships
from cowslipshift.steering import overlay as overlays

CENTRES = {"n-a": "north", "n-b": "north", "s-a": "south", "s-b": "south"}


class Fleet:
    """Hosts that pass words on as they are told to, without a network.

    Attributes:
        crossed: Datagrams between data centres since the last word.
        heard: Hosts that heard the last word.
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
        self.dead: set[str] = set()
        self.passes: collections.Counter[str] = collections.Counter()
        self.crossed = 0
        self.heard: set[str] = set()
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

    def say(self, writer: str, sequence: int, now: float = 0.0) -> None:
        """Let a host say a word and the others pass it on."""
        self.crossed, self.heard = 0, set()
        overlay = self.overlays[writer]
        for member in overlay.list_direct_peers():
            self._hear(writer, member.name)
            near = self.overlays[member.name]
            if member.name not in self.dead and near.should_relay(
                sequence, now
            ):
                self._pass_on(member.name, now)
        if overlay.is_relay(now):
            self._pass_on(writer, now)

    def _pass_on(self, speaker: str, now: float) -> None:
        number = self.passes[speaker]
        self.passes[speaker] += 1
        remote = self.overlays[speaker].choose_remote_relays(number, now)
        for member in remote:
            self._hear(speaker, member.name)
            there = self.overlays[member.name]
            if member.name in self.dead:
                continue
            assert there.should_forward_locally(speaker)
            for near in there.list_direct_peers():
                self._hear(member.name, near.name)

    def _hear(self, sender: str, listener: str) -> None:
        self.crossed += self.find_centre(sender) != self.find_centre(listener)
        if listener not in self.dead:
            self.heard.add(listener)


def test_few_hosts_tell_all_others_themselves() -> None:
    fleet = Fleet(memberships.MAX_FULL_MESH_HOSTS)
    fleet.say("h3", 1)
    assert len(fleet.heard) == memberships.MAX_FULL_MESH_HOSTS - 1


@pytest.mark.parametrize("sequence", range(4))
def test_many_hosts_all_hear_a_word_that_crosses_over_once_a_centre(
    sequence: int,
) -> None:
    fleet = Fleet(60)
    for member in fleet.members:
        fleet.say(member.name, sequence)
        assert fleet.heard | {member.name} == {m.name for m in fleet.members}
        own_too = fleet.overlays[member.name].is_relay(0.0)
        assert fleet.crossed <= (len(CENTRES) - 1) * (1 + own_too)


def test_dead_speakers_cost_some_words_and_no_host_goes_unheard() -> None:
    fleet = Fleet(60)
    speakers = fleet.overlays["h0"].list_relays("north", 0.0)
    speakers |= fleet.overlays["h0"].list_relays("south", 0.0)
    fleet.dead = {
        next(s for s in sorted(speakers) if fleet.find_centre(s) == centre)
        for centre in CENTRES
    }
    alive = {m.name for m in fleet.members} - fleet.dead
    for writer in sorted(alive):
        heard: set[str] = set()
        for sequence in range(8):
            fleet.say(writer, sequence)
            heard |= fleet.heard
        assert heard | {writer} == alive, writer


def test_silent_speaker_is_replaced() -> None:
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


def test_a_cut_data_centre_is_still_spoken_to() -> None:
    fleet = Fleet(60)
    later_s = 100.0
    named = fleet.overlays["h0"].choose_remote_relays(0, later_s)
    assert {m.data_centre for m in named} == set(CENTRES) - {"n-a"}


def test_one_host_of_a_data_centre_asks_across_its_border() -> None:
    fleet = Fleet(60)
    told = {"h1": 7}
    near, far = fleet.find_centre("h1"), "n-a"
    assert CENTRES[near] == CENTRES[far] and near != far
    asking = [
        name
        for name, overlay in fleet.overlays.items()
        if overlay.choose_source(told, 6, 0.0, 0.0) is not None
        and fleet.find_centre(name) == far
    ]
    assert len(asking) == overlays.RELAYS_PER_DATA_CENTRE
    patient = fleet.overlays["h0"]
    late = overlays.CROSS_CENTRE_DELAY_S + 0.1
    assert patient.choose_source(told, 6, late, 0.0) == "h1"
    assert patient.choose_source(told, 7, late, 0.0) is None
    assert patient.choose_source({"h1": 7, "h4": 7}, 6, 0.0, 0.0) == "h4"


def test_speaker_that_is_gone_is_forgotten_at_once() -> None:
    fleet = Fleet(60)
    overlay, membership = fleet.overlays["h0"], fleet.memberships["h0"]
    before = overlay.choose_remote_relays(0, 1.0)
    for member in before:
        membership.set_member(member.name, None, 1.0)
    after = overlay.choose_remote_relays(0, 1.0)
    assert len(after) == len(before)
    assert not {m.name for m in after} & {m.name for m in before}
