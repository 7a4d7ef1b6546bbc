"""Which hosts tell which, so that few bytes cross data centres.

Up to some twenty hosts each tells all others. With more, a host tells those
of its own data centre, and two of them, the speakers, pass its words on to
the speakers of the other data centres, who pass them on to theirs. A speaker
that dies costs every second word until another takes its place.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model

RELAYS_PER_DATA_CENTRE = 2
"""Hosts of a data centre that talk to others, so that one may die."""

RANKED_FOR_S = 0.2
"""How long speakers are remembered; silence is noticed in seconds."""

CROSS_CENTRE_DELAY_S = 0.3
"""How long a host waits for its own data centre to pass on a revision that
it has heard of before it asks elsewhere."""


class Overlay:
    """Who talks to whom, as one host sees it.

    Args:
        membership: Which hosts are alive.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self._membership = membership
        self._own = membership.own
        self._ranked: dict[str, list[str]] = {}
        self._ranked_s = -math.inf
        self._generation = 0

    def list_direct_peers(self) -> list[model.Member]:
        """Return the hosts that this one's words go to directly."""
        peers = self._membership.list_peers()
        if not self._membership.uses_relays:
            return peers
        return [peer for peer in peers if self._is_near(peer)]

    def is_relay(self, now: float) -> bool:
        """Tell whether this host talks to other data centres."""
        if not self._membership.uses_relays:
            return False
        speakers = self._rank_speakers(self._own.data_centre, now)
        return self._own.name in speakers

    def list_relays(self, region: str, now: float) -> set[str]:
        """Return the speakers of a region; none where all tell all."""
        if not self._membership.uses_relays:
            return set()
        announced = (self._own, *self._membership.list_peers())
        centres = {m.data_centre for m in announced if m.region == region}
        return {
            name
            for centre in centres
            for name in self._rank_speakers(centre, now)
        }

    def should_relay(self, sequence: int, now: float) -> bool:
        """Tell whether a neighbour's word is for this host to pass on.

        Args:
            sequence: Number of the word; the speakers take turns.
            now: Present time.
        """
        if not self._membership.uses_relays:
            return False
        speakers = self._rank_speakers(self._own.data_centre, now)
        return speakers[sequence % len(speakers)] == self._own.name

    def choose_remote_relays(
        self, number: int, now: float
    ) -> list[model.Member]:
        """Return one speaker of each other data centre.

        Args:
            number: How often this was asked; speakers take turns.
            now: Present time.
        """
        by_name = {peer.name: peer for peer in self._membership.list_peers()}
        centres = {peer.data_centre for peer in by_name.values()}
        chosen = []
        for centre in sorted(centres - {self._own.data_centre}):
            speakers = self._rank_speakers(centre, now)
            # In pairs: what one speaker here passes on goes to both there.
            turn = number // RELAYS_PER_DATA_CENTRE % len(speakers)
            chosen.append(by_name[speakers[turn]])
        return chosen

    def should_forward_locally(self, sender: str) -> bool:
        """Tell whether words from a host are to be told to the neighbours.

        Args:
            sender: The host that they came from, not that which wrote them.
        """
        if not self._membership.uses_relays:
            return False
        member = self._membership.find_member(sender)
        return member is not None and not self._is_near(member)

    def is_in_own_data_centre(self, name: str) -> bool:
        """Tell whether a host is in the own data centre."""
        member = self._membership.find_member(name)
        return member is not None and self._is_near(member)

    def choose_source(
        self,
        revisions: dict[str, int],
        known: int,
        behind_s: float,
        now: float,
    ) -> str | None:
        """Return the host to ask for what came after a revision.

        In a data centre one host asks across its border, the others ask it.

        Args:
            revisions: Revision that each other host has told.
            known: Own revision.
            behind_s: How long a newer one has been known of.
            now: Present time.
        """
        ahead = [name for name, told in revisions.items() if told > known]
        members = [self._membership.find_member(name) for name in ahead]
        found = [member for member in members if member is not None]
        if not found:
            return None
        best = max(found, key=lambda member: self._rate(member, revisions))
        if not self._membership.uses_relays or self._is_near(best):
            return best.name
        is_own_region = best.region == self._own.region
        if is_own_region and self.is_relay(now):
            return best.name
        return best.name if behind_s >= CROSS_CENTRE_DELAY_S else None

    def _rate(
        self, member: model.Member, revisions: dict[str, int]
    ) -> tuple[bool, bool, int]:
        return (
            self._is_near(member),
            member.region == self._own.region,
            revisions[member.name],
        )

    def _is_near(self, member: model.Member) -> bool:
        return member.data_centre == self._own.data_centre

    def _rank_speakers(self, centre: str, now: float) -> list[str]:
        """Return the speakers of a data centre; never none."""
        generation = self._membership.generation
        is_old = not 0.0 <= now - self._ranked_s < RANKED_FOR_S
        if is_old or generation != self._generation:
            self._ranked.clear()
            self._ranked_s = now
            self._generation = generation
        speakers = self._ranked.get(centre)
        if speakers is None:
            names = self._list_candidates(centre, now)
            speakers = hashing.rank_members(f"speak|{centre}", names)
            self._ranked[centre] = speakers = speakers[:RELAYS_PER_DATA_CENTRE]
        return speakers

    def _list_candidates(self, centre: str, now: float) -> list[str]:
        """Return the living hosts of a data centre, or else all of them.

        Where no host seems alive, any may be, and is to be found again.
        """
        usable = self._membership.list_usable(now)
        names = [m.name for m in usable if m.data_centre == centre]
        if names:
            return names
        announced = (self._own, *self._membership.list_peers())
        return [m.name for m in announced if m.data_centre == centre]
