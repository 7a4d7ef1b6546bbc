"""Requests changes in the store from other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from cowslipshift import transfers
from cowslipshift.edge import changeserver
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.edge import usagemessages

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import bodies
    from cowslipshift.duties import collection
    from cowslipshift.store import interface

PEER_TIMEOUT_S = 0.6
"""Time limit for the first byte of an answer, and for pauses in it."""


def _describe_position(position: interface.Position) -> dict[str, str]:
    return {"after": str(position.revision), "era": str(position.era)}


class PeerClient:
    """Client of the internal HTTP interface of other hosts.

    Args:
        session: HTTP session to use; the caller closes it.
        on_fetch: Called with the outcome of each fetch and the size of its
            answer, for metrics.
        budget: Counts answers while they are read.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        on_fetch: Callable[[str, int], None],
        budget: bodies.ByteBudget,
    ) -> None:
        self._session = session
        self._on_fetch = on_fetch
        self._budget = budget

    async def fetch_changes(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        """Fetch what changed in the store after a revision.

        Args:
            address: ``ip:port`` of the other host.
            after: Position of the own replica.

        Raises:
            PeerError: The other host gave no valid answer in time.
        """
        raw = await self._fetch(
            f"http://{address}/changes", _describe_position(after)
        )
        return messages.decode_changes(raw)

    async def fetch_knowledge(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        """Fetch changes from a host that knows more than the store's copy.

        Args:
            address: ``ip:port`` of the other host.
            after: Position of the own replica; revision 0 for a snapshot.

        Raises:
            PeerError: The other host gave no valid answer in time, or knows
                no more than what the store held when its era began.
        """
        raw = await self._fetch(
            f"http://{address}/changes",
            {**_describe_position(after), changeserver.INFORMED_PARAM: "1"},
        )
        return messages.decode_changes(raw)

    async def fetch_counts(
        self, address: str, first: int
    ) -> collection.HostCounts:
        """Fetch the requests that another host has counted.

        Args:
            address: ``ip:port`` of the other host.
            first: First window to fetch.

        Raises:
            PeerError: The other host gave no valid answer in time.
        """
        raw = await self._fetch(
            f"http://{address}/usage", {"first": str(first)}
        )
        return usagemessages.decode_counts(raw)

    async def _fetch(self, url: str, params: dict[str, str]) -> bytes:
        try:
            answer = await transfers.fetch_body(
                self._session,
                "GET",
                url,
                PEER_TIMEOUT_S,
                PEER_TIMEOUT_S,
                self._budget,
                params=params,
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._on_fetch("none", 0)
            raise exceptions.PeerError(repr(error)) from error
        self._on_fetch(str(answer.status), len(answer.body))
        if answer.status != 200:
            raise exceptions.PeerError(
                f"another host answered with status {answer.status}"
            )
        return answer.body
