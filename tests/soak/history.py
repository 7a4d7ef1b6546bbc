"""What happened in a soak, and the rules that are checked on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cowslipshift.standins import platformfleet

CONTACT_S = 3.0
"""Time after a disruption from which the bounds of a host hold again."""

DRAIN_S = 2.0
APPLY_S = 2.0
ANSWER_SLACK_S = 0.5
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Sent(msgspec.Struct):
    """A request of a caller, with what became of it.

    Attributes:
        status: Status of the answer; 0 if there was none.
        answer_id: Id that the answer names.
        ended_s: Time of the answer, or of the end of the connection.
        is_late: Whether the caller gave up.
    """

    id: str
    host: str
    is_write: bool
    sent_s: float
    deadline_s: float
    status: int = 0
    answer_id: str = ""
    body: bytes = b""
    ended_s: float = 0.0
    is_late: bool = False


class Disruption(msgspec.Struct, frozen=True):
    """A time in which a host, or the store, was disrupted.

    Attributes:
        host: Name of the host; empty for the store.
        is_planned: Whether it is a stop in which nothing may be lost.
    """

    host: str
    kind: str
    start_s: float
    end_s: float
    is_planned: bool = False


class Leaving(msgspec.Struct, frozen=True):
    """A server that reported that it leaves, and when."""

    server: str
    at_s: float


class History:
    """Everything that callers, servers and the soak itself have seen."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        self.disruptions: list[Disruption] = []
        self.leaving: list[Leaving] = []
        self.violations: list[str] = []

    def is_calm(self, host: str, start_s: float, end_s: float) -> bool:
        """Tell whether a host was in touch all the time."""
        return not any(
            found.host in (host, "")
            and found.start_s < end_s
            and found.end_s + CONTACT_S > start_s
            for found in self.disruptions
        )

    def judge(self, fleet: platformfleet.PlatformFleet) -> list[str]:
        """Return each rule that was broken, with the request."""
        runs: dict[str, list[float]] = {}
        for server in fleet.backends.values():
            for record in server.records:
                runs.setdefault(record.id, []).append(record.arrived_s)
        found = list(self.violations)
        for sent in self.sent:
            found += self._judge_request(sent, runs.get(sent.id, []))
        by_id = {sent.id: sent for sent in self.sent}
        for leaving in self.leaving:
            found += self._judge_leaving(leaving, fleet, by_id)
        return found

    def _judge_request(self, sent: Sent, ran_s: list[float]) -> list[str]:
        found = []
        if sent.is_write and len(ran_s) > 1:
            found.append(f"TWICE: {sent}")
        if sent.is_write and sent.status in NOT_RUN_STATUSES and ran_s:
            found.append(f"REFUSED: {sent}")
        if sent.status and sent.answer_id != sent.id:
            found.append(f"MIXED: {sent}")
        if sent.status == 200 and not sent.body.endswith(
            f"ran {sent.id}".encode()
        ):
            found.append(f"MIXED: {sent}")
        is_calm = self.is_calm(sent.host, sent.sent_s, sent.ended_s)
        if not sent.status and ran_s and self._is_in_planned_stop(sent):
            found.append(f"LOST: {sent}")
        if not sent.status and ran_s and is_calm:
            found.append(f"LOST in calm: {sent}")
        is_held = sent.ended_s > sent.deadline_s + ANSWER_SLACK_S
        if is_calm and (sent.is_late or is_held):
            found.append(f"CONFIG, held: {sent}")
        if is_calm and sent.status == 408:
            # All callers send their bodies at once.
            found.append(f"CONFIG, body not taken: {sent}")
        return found

    def _is_in_planned_stop(self, sent: Sent) -> bool:
        """Tell whether only planned stops were near a request."""
        near = [
            found
            for found in self.disruptions
            if found.host in (sent.host, "")
            and found.start_s < sent.ended_s
            and found.end_s + CONTACT_S > sent.sent_s - CONTACT_S
        ]
        return bool(near) and all(found.is_planned for found in near)

    def _judge_leaving(
        self,
        leaving: Leaving,
        fleet: platformfleet.PlatformFleet,
        by_id: dict[str, Sent],
    ) -> list[str]:
        found = []
        until_s = leaving.at_s + DRAIN_S
        if not self.is_calm("", leaving.at_s, leaving.at_s):
            # The acknowledgement binds only while the store is stable.
            return []
        for record in fleet.backends[leaving.server].records:
            sent = by_id.get(record.id)
            if (
                sent is not None
                and sent.sent_s > until_s
                and self.is_calm(sent.host, leaving.at_s, record.arrived_s)
            ):
                found.append(f"DRAIN, {leaving}: {sent}")
        return found
