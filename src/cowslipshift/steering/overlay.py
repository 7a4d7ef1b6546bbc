"""Chooses who sends heartbeats to whom, to save traffic between data centres.

Up to some twenty hosts, each sends to all others. With more, a host sends to
those of its own data centre, and two of them, the relays, forward its
heartbeats to the relays of the other data centres, which forward them to
their own. Relays are the hosts with the most bandwidth, as they send many
times what the others do. If a relay fails, every second heartbeat is lost
until another host takes its place.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model

RELAYS_PER_DATA_CENTRE = 2
"""Relays of a data centre; more than one, so that one may fail."""

RELAY_CACHE_S = 0.2
"""How long the choice of relays is cached; failures are detected in seconds.
"""

DEFAULT_LINK_MBPS = 10.0
"""Bandwidth assumed of a host that does not state its own."""

CROSS_CENTRE_DELAY_S = 0.3
"""How long a host waits for its own data centre to pass on a revision that
it has heard of before it asks another data centre."""


class Overlay:
    """The overlay network for heartbeats, as one host sees it.

    Args:
        membership: Which hosts are alive.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self._membership = membership
        self._own = membership.own
        self._relays_by_centre: dict[str, list[str]] = {}
        self._cached_s = -math.inf
        self._generation = 0

    def list_direct_peers(self) -> list[model.Member]:
        """Return the hosts that this host sends its heartbeats to."""
        peers = self._membership.list_peers()
        if not self._membership.uses_relays:
            return peers
        return [peer for peer in peers if self._is_local(peer)]

    def is_relay(self, now: float) -> bool:
        """Tell whether this host sends to other data centres."""
        if not self._membership.uses_relays:
            return False
        relays = self._choose_relays(self._own.data_centre, now)
        return self._own.name in relays

    def list_relays(self, region: str, now: float) -> set[str]:
        """Return the relays of a region; none if hosts send to all others."""
        if not self._membership.uses_relays:
            return set()
        announced = (self._own, *self._membership.list_peers())
        centres = {m.data_centre for m in announced if m.region == region}
        return {
            name
            for centre in centres
            for name in self._choose_relays(centre, now)
        }

    def should_relay(self, sequence: int, now: float) -> bool:
        """Tell whether this host is to relay a heartbeat of its data centre.

        Args:
            sequence: Number of the heartbeat; the relays take turns.
            now: Present time.
        """
        if not self._membership.uses_relays:
            return False
        relays = self._choose_relays(self._own.data_centre, now)
        return relays[sequence % len(relays)] == self._own.name

    def choose_remote_relays(
        self, number: int, now: float
    ) -> list[model.Member]:
        """Return one relay of each other data centre.

        Args:
            number: Number of previous calls; the relays take turns.
            now: Present time.
        """
        by_name = {peer.name: peer for peer in self._membership.list_peers()}
        centres = {peer.data_centre for peer in by_name.values()}
        chosen = []
        for centre in sorted(centres - {self._own.data_centre}):
            relays = self._choose_relays(centre, now)
            # Advance once per pair of calls, so that what one local relay
            # forwards reaches both remote relays.
            turn = number // RELAYS_PER_DATA_CENTRE % len(relays)
            chosen.append(by_name[relays[turn]])
        return chosen

    def should_forward_locally(self, sender: str) -> bool:
        """Tell whether a sender's heartbeats go on to the own data centre.

        Args:
            sender: The host that sent the datagram, not the origin of the
                heartbeats.
        """
        if not self._membership.uses_relays:
            return False
        member = self._membership.find_member(sender)
        return member is not None and not self._is_local(member)

    def is_in_own_data_centre(self, name: str) -> bool:
        """Tell whether a host is in the own data centre."""
        member = self._membership.find_member(name)
        return member is not None and self._is_local(member)

    def choose_source(
        self, ahead: list[model.Member], behind_s: float, now: float
    ) -> model.Member | None:
        """Return the host to ask for changes; ``None`` if it is too early.

        In a data centre, the relays ask another data centre and the other
        hosts ask them. Hosts that are equally near share the requests in
        proportion to their bandwidth.

        Args:
            ahead: Hosts that have reported a newer revision, at least one.
            behind_s: How long a newer revision has been known of.
            now: Present time.
        """
        nearest = max(self._rate_nearness(member) for member in ahead)
        candidates = {
            member.name: member
            for member in ahead
            if self._rate_nearness(member) == nearest
        }
        weights = {
            name: member.link_mbps or DEFAULT_LINK_MBPS
            for name, member in candidates.items()
        }
        ranked = hashing.rank_weighted(f"ask|{self._own.name}", weights)
        best = candidates[ranked[0]]
        if not self._membership.uses_relays or self._is_local(best):
            return best
        is_own_region = best.region == self._own.region
        if is_own_region and self.is_relay(now):
            return best
        return best if behind_s >= CROSS_CENTRE_DELAY_S else None

    def _rate_nearness(self, member: model.Member) -> tuple[bool, bool]:
        return (
            self._is_local(member),
            member.region == self._own.region,
        )

    def _is_local(self, member: model.Member) -> bool:
        return member.data_centre == self._own.data_centre

    def _choose_relays(self, centre: str, now: float) -> list[str]:
        """Return the relays of a data centre, at least one."""
        generation = self._membership.generation
        is_expired = not 0.0 <= now - self._cached_s < RELAY_CACHE_S
        if is_expired or generation != self._generation:
            self._relays_by_centre.clear()
            self._cached_s = now
            self._generation = generation
        relays = self._relays_by_centre.get(centre)
        if relays is None:
            candidates = self._list_candidates(centre, now)
            links = {member.name: member.link_mbps for member in candidates}
            ranked = hashing.rank_members(f"speak|{centre}", links)
            # Stable, so that hosts with equal links stay in hashed order.
            ranked.sort(key=lambda name: links[name], reverse=True)
            relays = ranked[:RELAYS_PER_DATA_CENTRE]
            self._relays_by_centre[centre] = relays
        return relays

    def _list_candidates(self, centre: str, now: float) -> list[model.Member]:
        """Return the live hosts of a data centre, or all if none is alive.

        If no host seems alive, any of them may be, and has to be reached
        again.
        """
        usable = self._membership.list_usable(now)
        found = [m for m in usable if m.data_centre == centre]
        if found:
            return found
        announced = (self._own, *self._membership.list_peers())
        return [m for m in announced if m.data_centre == centre]
