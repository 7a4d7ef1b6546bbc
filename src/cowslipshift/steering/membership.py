"""Membership and failure detection, from announcements and heartbeats.

It serves hosts on a platform; `coordination.members` serves hosts that run
without one.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model

FAILURE_TIMEOUT_INTERVALS = 5.0
"""Intervals without a heartbeat after which a host is no longer named to
clients; the intervals are longer where heartbeats are relayed."""

JOIN_GRACE_INTERVALS = 4.0
"""Intervals for which a host that has just announced itself may be silent."""

BASE_HEARTBEAT_INTERVAL_S = 0.4
MAX_FULL_MESH_HOSTS = 20
"""Up to this many hosts, all send heartbeats to all others at the base
interval. With more, heartbeats are relayed, and the interval grows with the
number of hosts that a host sends to, so that its traffic stays bounded."""

MIN_RELAYED_INTERVAL_FACTOR = 1.75
"""Minimum factor of the interval where heartbeats are relayed."""

RELAY_DELAY_FACTOR = 1.6
"""Factor by which a relayed heartbeat may come later than its interval, as it
waits for the next heartbeat of the relay."""

MAX_FORMER_HOSTS = 1000
"""Hosts that are gone of which the start is remembered."""


class Membership:
    """The hosts of the system as one of them sees it.

    Args:
        own: This host.

    Attributes:
        is_leaving: Whether this host is leaving.
        generation: Increases with each host that is announced or gone.
    """

    def __init__(self, own: model.Member) -> None:
        self.own = own
        self.is_leaving = False
        self.generation = 0
        self._members: dict[str, model.Member] = {own.name: own}
        self._last_heard_s: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._unregistered: set[str] = set()
        self._former: dict[str, int] = {}
        self._interval_factor = 1.0

    def set_member(
        self, name: str, member: model.Member | None, now: float
    ) -> bool:
        """Record the announcement of a host, or that it is gone.

        A host that still sends heartbeats, and does not say that it leaves,
        is kept until they stop: the store may have turned it away, so that
        its registration expired, and then it depends on the other hosts.

        A host that was gone is not taken for a new one if the same start of it
        is announced again, as a store does that has come back from a copy. It
        counts as dead until it is heard.

        Returns:
            Whether a host has joined or started again.
        """
        if name == self.own.name:
            return False
        if member is None:
            if self.is_alive(name, now) and not self._is_leaving(name):
                self._unregistered.add(name)
            else:
                self._remove(name)
            return False
        self._unregistered.discard(name)
        known = self._members.get(name)
        self._members[name] = member
        self._record_change()
        has_joined = known is None or known.incarnation != member.incarnation
        if has_joined and self._former.get(name) != member.incarnation:
            intervals = FAILURE_TIMEOUT_INTERVALS - JOIN_GRACE_INTERVALS
            self._last_heard_s[name] = (
                now - intervals * self.get_heartbeat_interval()
            )
        if has_joined:
            self._leaving.discard(name)
        return has_joined

    def record_heartbeat(
        self, name: str, incarnation: int, is_leaving: bool, now: float
    ) -> None:
        """Record a heartbeat; `now` is the time at which it was sent."""
        member = self._members.get(name)
        if member is None or member.incarnation != incarnation:
            return
        self._last_heard_s[name] = max(now, self._last_heard_s.get(name, now))
        if is_leaving:
            self._leaving.add(name)

    def drop_unregistered(self, now: float) -> list[str]:
        """Drop hosts that are no longer announced and have fallen silent."""
        dropped = [
            name
            for name in self._unregistered
            if not self.is_alive(name, now) or self._is_leaving(name)
        ]
        for name in dropped:
            self._remove(name)
        return dropped

    def get_heartbeat_interval(self) -> float:
        """Return the seconds between two heartbeats of a host."""
        return BASE_HEARTBEAT_INTERVAL_S * self.get_interval_factor()

    def may_send_early(self, passed_s: float) -> bool:
        """Tell whether a heartbeat may be sent before its time.

        Up to `MAX_FULL_MESH_HOSTS` hosts it always may; with more, an early
        heartbeat to all of them is expensive, and half an interval is soon
        enough.

        Args:
            passed_s: Seconds since the last heartbeat.
        """
        if self.get_interval_factor() <= 1.0:
            return True
        return passed_s >= self.get_heartbeat_interval() / 2.0

    def get_interval_factor(self) -> float:
        """Return the factor by which many hosts lengthen the interval."""
        return self._interval_factor

    def get_timeout_factor(self) -> float:
        """Return the factor by which many hosts lengthen time-outs."""
        return (
            self._interval_factor * RELAY_DELAY_FACTOR
            if self.uses_relays
            else 1.0
        )

    @property
    def uses_relays(self) -> bool:
        """Whether heartbeats to other data centres are relayed."""
        return len(self._members) > MAX_FULL_MESH_HOSTS

    def _remove(self, name: str) -> None:
        self._unregistered.discard(name)
        member = self._members.pop(name, None)
        if member is not None:
            self._former.pop(name, None)
            self._former[name] = member.incarnation
            if len(self._former) > MAX_FORMER_HOSTS:
                self._former.pop(next(iter(self._former)))
        self._last_heard_s.pop(name, None)
        self._record_change()

    def _record_change(self) -> None:
        self.generation += 1
        self._interval_factor = self._compute_interval_factor()

    def _compute_interval_factor(self) -> float:
        if not self.uses_relays:
            return 1.0
        centres = [member.data_centre for member in self._members.values()]
        targets = centres.count(self.own.data_centre) + len(set(centres))
        return max(MIN_RELAYED_INTERVAL_FACTOR, targets / MAX_FULL_MESH_HOSTS)

    def find_member(self, name: str) -> model.Member | None:
        """Return an announced host, this one included."""
        return self._members.get(name)

    def count_hosts(self) -> int:
        """Return the number of announced hosts, this one included."""
        return len(self._members)

    def list_peers(self) -> list[model.Member]:
        """Return all announced hosts except this one."""
        return [
            member
            for name, member in self._members.items()
            if name != self.own.name
        ]

    def is_alive(self, name: str, now: float) -> bool:
        """Tell whether a host sent a heartbeat lately."""
        if name == self.own.name:
            return True
        return self.measure_silence(name, now) < self._get_failure_timeout()

    def measure_silence(self, name: str, now: float) -> float:
        """Return the seconds since a host's last heartbeat."""
        return now - self._last_heard_s.get(name, -math.inf)

    def list_live(self, now: float) -> list[model.Member]:
        """Return the hosts that are alive, this one included."""
        since_s = now - self._get_failure_timeout()
        last_heard_s = self._last_heard_s
        return [
            member
            for name, member in self._members.items()
            if name == self.own.name
            or last_heard_s.get(name, -math.inf) > since_s
        ]

    def list_usable(self, now: float) -> list[model.Member]:
        """Return the hosts that clients may be sent to."""
        return [
            member
            for member in self.list_live(now)
            if not self._is_leaving(member.name)
        ]

    def _get_failure_timeout(self) -> float:
        """Return the seconds of silence after which a host counts as dead."""
        return (
            FAILURE_TIMEOUT_INTERVALS
            * BASE_HEARTBEAT_INTERVAL_S
            * self.get_timeout_factor()
        )

    def _is_leaving(self, name: str) -> bool:
        if name == self.own.name:
            return self.is_leaving
        return name in self._leaving


def choose_public_addresses(
    members: list[model.Member], region: str, own: model.Member
) -> list[str]:
    """Return the addresses that a client is sent to.

    Args:
        members: Hosts that clients may be sent to.
        region: The client's region.
        own: The host that answers, used if there is no other.
    """
    local = [
        member.public_address for member in members if member.region == region
    ]
    if not local:
        local = [member.public_address for member in members]
    return sorted(local) or [own.public_address]
