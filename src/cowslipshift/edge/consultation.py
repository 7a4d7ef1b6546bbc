"""Asks other hosts what they know before a store is followed.

A store that comes back from a copy has lost what was written last. Hosts that
followed it know more than it does; one that has just started, or that was cut
off or suspended meanwhile, may not.
"""

from __future__ import annotations

import asyncio
import random
from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.edge import exceptions
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from cowslipshift.edge import messages
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model
    from cowslipshift.store import interface

TIMEOUT_S = 1.0
"""Time after which a host goes on with what it has heard."""

MAX_CONCURRENT_CALLS = 4
MAX_CALLS = 8
SUFFICIENT_ANSWERS = 2
"""Answers after which no other host is asked; a single one may come from a
host that was cut off itself."""


class KnowledgeClient(Protocol):
    """Fetches what other hosts know of the store."""

    async def fetch_knowledge(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        """Fetch changes from a host that knows more than the store's copy.

        Raises:
            PeerError: The other host gave no valid answer in time, or knows
                no more than the copy.
        """


class Consultation:
    """Asks a few other hosts, drawn at random.

    Args:
        membership: The hosts that this one knows.
        client: Asks them.
    """

    def __init__(
        self, membership: memberships.Membership, client: KnowledgeClient
    ) -> None:
        self._membership = membership
        self._client = client
        self._log = logs.EventLog("consultation")

    async def ask(
        self, registered: Iterable[model.Member], after: interface.Position
    ) -> messages.Changes | None:
        """Return what those hosts know.

        Args:
            registered: Hosts that are registered in the store.
            after: Position of the own replica; revision 0 for a snapshot.

        Returns:
            The furthest answer; ``None`` if no host that knows more than the
            store's copy has answered.
        """
        own = self._membership.own.name
        members = {
            member.name: member
            for member in (*registered, *self._membership.list_peers())
            if member.name != own
        }
        if not members:
            return None
        found: list[messages.Changes] = []
        drawn = random.sample(sorted(members), min(len(members), MAX_CALLS))
        remaining = iter(drawn)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await asyncio.gather(
                    *(
                        self._ask_in_turn(remaining, members, after, found)
                        for _ in range(MAX_CONCURRENT_CALLS)
                    )
                )
        except TimeoutError:
            self._log.notice("hosts_silent", answers=len(found))
        self._log.info("hosts_asked", hosts=len(members), informed=len(found))
        return max(found, key=lambda answer: answer.position, default=None)

    async def _ask_in_turn(
        self,
        remaining: Iterator[str],
        members: dict[str, model.Member],
        after: interface.Position,
        found: list[messages.Changes],
    ) -> None:
        """Ask hosts one after the other until enough have answered."""
        for name in remaining:
            try:
                found.append(
                    await self._client.fetch_knowledge(
                        members[name].internal_address, after
                    )
                )
            except exceptions.PeerError as error:
                self._log.info(
                    "host_not_heard", peer=name, reason=error.message
                )
            if len(found) >= SUFFICIENT_ANSWERS:
                return
