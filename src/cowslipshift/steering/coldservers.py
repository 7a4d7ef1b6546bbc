"""Paces the requests to servers that are cold after their start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from cowslipshift.steering import membership as memberships

COLD_SENDERS = 2
"""Number of hosts that may send to a cold server if no other server is left.
It is more than one, so that the server is used if one of them fails."""

COLD_RATE_SAFETY = 0.7
MIN_RATE = 0.1


class ColdServers:
    """Divides the rate that a cold server tolerates between few hosts.

    Args:
        membership: Which hosts are alive.
    """

    __slots__ = ("_membership", "_sent_s")

    def __init__(self, membership: memberships.Membership) -> None:
        self._membership = membership
        self._sent_s: dict[str, float] = {}

    def try_send(self, server: str, rate: float, now: float) -> bool:
        """Take this host's turn to send one request, if it is due.

        Args:
            server: Id of the server.
            rate: Requests per second that the server tolerates.
            now: Present time.
        """
        interval_s = COLD_SENDERS / max(MIN_RATE, rate * COLD_RATE_SAFETY)
        if now - self._sent_s.get(server, -1e9) < interval_s:
            return False
        hosts = [member.name for member in self._membership.list_live(now)]
        senders = hashing.rank_members(f"cold|{server}", hosts)
        if self._membership.own.name not in senders[:COLD_SENDERS]:
            return False
        self._sent_s[server] = now
        return True
