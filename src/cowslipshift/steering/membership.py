"""Which hosts are alive, from what they announce and what is heard."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model

SILENT_AFTER_BEATS = 5.0
"""Intervals without a word, longer ones where words are passed on, after
which a host is no longer named."""

GRACE_BEATS = 4.0
"""Intervals in which a host that has just announced itself may be silent."""

BASE_INTERVAL_S = 0.4
MAX_FULL_MESH_HOSTS = 20
"""Up to this many hosts all tell all others at the base interval; with more,
words are passed on, and the interval grows with those that a host tells, so
that what it sends stays bounded."""

LAYERED_STRETCH = 1.75
"""Least growth of the interval where words are passed on."""

RELAY_STRETCH = 1.6
"""How much later than at its interval a word may come that waited for the
host that passes it on."""


class Membership:
    """The hosts of the system as one of them sees it.

    Args:
        own: This host.

    Attributes:
        is_leaving: Whether this host leaves.
        generation: Grows with each host that is announced or gone.
    """

    def __init__(self, own: model.Member) -> None:
        self.own = own
        self.is_leaving = False
        self.generation = 0
        self._members: dict[str, model.Member] = {own.name: own}
        self._heard_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._stretch = 1.0

    def set_member(
        self, name: str, member: model.Member | None, now: float
    ) -> None:
        """Take the announcement of a host, or the word that it is gone."""
        if name == self.own.name:
            return
        if member is None:
            self._members.pop(name, None)
            self._heard_s.pop(name, None)
            self._note_change()
            return
        known = self._members.get(name)
        self._members[name] = member
        self._note_change()
        if known is None or known.incarnation != member.incarnation:
            beats = SILENT_AFTER_BEATS - GRACE_BEATS
            self._heard_s[name] = now - beats * self.get_heartbeat_interval()
            self._leaving.discard(name)

    def record_heartbeat(
        self, name: str, incarnation: int, is_leaving: bool, now: float
    ) -> None:
        """Record that a host spoke at a time, which may be past."""
        member = self._members.get(name)
        if member is None or member.incarnation != incarnation:
            return
        self._heard_s[name] = max(now, self._heard_s.get(name, now))
        if is_leaving:
            self._leaving.add(name)

    def get_heartbeat_interval(self) -> float:
        """Return seconds between two words of a host."""
        return BASE_INTERVAL_S * self.get_interval_factor()

    def may_send_early(self, passed_s: float) -> bool:
        """Tell whether a word may go out before its time.

        Up to `MAX_FULL_MESH_HOSTS` hosts it always may; with more, a hurried
        word to all of them is dear, and half an interval is soon enough.

        Args:
            passed_s: Seconds since the last word.
        """
        if self.get_interval_factor() <= 1.0:
            return True
        return passed_s >= self.get_heartbeat_interval() / 2.0

    def get_interval_factor(self) -> float:
        """Return how much less often hosts speak, for there are many."""
        return self._stretch

    def get_timeout_factor(self) -> float:
        """Return how much later than with few hosts a word is overdue."""
        return self._stretch * RELAY_STRETCH if self.uses_relays else 1.0

    @property
    def uses_relays(self) -> bool:
        """Whether words to other data centres are passed on."""
        return len(self._members) > MAX_FULL_MESH_HOSTS

    def _note_change(self) -> None:
        self.generation += 1
        self._stretch = self._measure_stretch()

    def _measure_stretch(self) -> float:
        if not self.uses_relays:
            return 1.0
        centres = [member.data_centre for member in self._members.values()]
        told = centres.count(self.own.data_centre) + len(set(centres))
        return max(LAYERED_STRETCH, told / MAX_FULL_MESH_HOSTS)

    def find_member(self, name: str) -> model.Member | None:
        """Return an announced host, this one included."""
        return self._members.get(name)

    def count_hosts(self) -> int:
        """Return the number of announced hosts, this one included."""
        return len(self._members)

    def list_peers(self) -> list[model.Member]:
        """Return all announced hosts but this one."""
        return [
            member
            for name, member in self._members.items()
            if name != self.own.name
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether a host was heard lately."""
        if name == self.own.name:
            return True
        return self.measure_silence(name, now) < self._measure_limit()

    def measure_silence(self, name: str, now: float) -> float:
        """Return the seconds since a host was heard."""
        return now - self._heard_s.get(name, -math.inf)

    def list_live(self, now: float) -> list[model.Member]:
        """Return the hosts that are alive, this one included."""
        since_s = now - self._measure_limit()
        heard_s = self._heard_s
        return [
            member
            for name, member in self._members.items()
            if name == self.own.name or heard_s.get(name, -math.inf) > since_s
        ]

    def list_usable(self, now: float) -> list[model.Member]:
        """Return the hosts that callers may be sent to."""
        return [
            member
            for member in self.list_live(now)
            if not self._leaves(member.name)
        ]

    def _measure_limit(self) -> float:
        """Return the seconds of silence after which a host counts as dead."""
        return SILENT_AFTER_BEATS * BASE_INTERVAL_S * self.get_timeout_factor()

    def _leaves(self, name: str) -> bool:
        if name == self.own.name:
            return self.is_leaving
        return name in self._leaving


def choose_public_addresses(
    members: list[model.Member], region: str, own: model.Member
) -> list[str]:
    """Return the addresses that a caller is sent to.

    Args:
        members: Hosts that callers may be sent to.
        region: The caller's region.
        own: The host that answers; the last resort.
    """
    near = [
        member.public_address for member in members if member.region == region
    ]
    if not near:
        near = [member.public_address for member in members]
    return sorted(near) or [own.public_address]
