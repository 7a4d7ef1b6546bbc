"""Hosts that ask others what they know of a store that has come back."""

from __future__ import annotations

import asyncio

import pytest
from tests import builders

from cowslipshift.edge import consultation
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.store import interface

START = interface.Position()


class Client:
    """Answers with the revisions of the hosts that know more.

    Attributes:
        asked: Addresses in the order of the calls.
    """

    def __init__(self, revisions: dict[str, int], is_silent: bool) -> None:
        self.asked: list[str] = []
        self._revisions = revisions
        self._is_silent = is_silent

    async def fetch_knowledge(
        self, address: str, after: interface.Position
    ) -> messages.Changes:
        self.asked.append(address)
        if self._is_silent:
            await asyncio.Event().wait()
        name = address.partition(":")[0]
        if name not in self._revisions:
            raise exceptions.PeerError("knows no more")
        return messages.Changes(self._revisions[name], True, (), 2)


def build(
    hosts: int, revisions: dict[str, int], is_silent: bool = False
) -> tuple[consultation.Consultation, Client]:
    names = tuple(f"p{number}" for number in range(hosts))
    membership = builders.build_balancer("h1", peers=names).membership
    client = Client(revisions, is_silent)
    return consultation.Consultation(membership, client), client


async def test_furthest_answer_is_taken() -> None:
    asking, _ = build(2, {"p0": 5, "p1": 7})
    found = await asking.ask((), START)
    assert found is not None
    assert found.revision == 7


# Guards against a host whose question was answered by nobody but those that
# know no more than it does.
@pytest.mark.parametrize("hosts", [1, 4, 60])
async def test_uninformed_hosts_are_passed_over_and_bounded(hosts) -> None:
    asking, client = build(hosts, {})
    assert await asking.ask((), START) is None
    assert len(client.asked) == min(hosts, consultation.MAX_CALLS)


async def test_hosts_of_the_copy_are_asked_and_the_host_itself_is_not() -> (
    None
):
    asking, client = build(0, {"p9": 5})
    members = [builders.build_member(name) for name in ("h1", "p9")]
    assert await asking.ask(members, START) is not None
    assert len(client.asked) == 1


# Guards against a host that serves nothing while dead hosts don't answer.
async def test_silent_hosts_are_waited_for_a_bounded_time(monkeypatch) -> None:
    monkeypatch.setattr(consultation, "TIMEOUT_S", 0.05)
    asking, _ = build(3, {}, is_silent=True)
    async with asyncio.timeout(1.0):
        assert await asking.ask((), START) is None
