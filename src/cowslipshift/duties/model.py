"""What the store holds about a duty."""

from __future__ import annotations

import msgspec

MAX_FORMER = 16
"""Earlier holders that are remembered."""


class UsageReport(msgspec.Struct, frozen=True):
    """Requests that began to run in one window.

    Attributes:
        window: Number of the window.
        counts: Requests by client account, sorted by name so that the report
            is encoded the same way by every host.
    """

    window: int
    counts: dict[str, int]


class Holder(msgspec.Struct, frozen=True):
    """The host that holds the duty.

    Attributes:
        host: Its name.
        incarnation: Which process of the host.
        token: Its fencing token.
        lease: Lease that its entry ends with.
    """

    host: str
    incarnation: int
    token: int
    lease: int


class Record(msgspec.Struct, frozen=True):
    """What outlives a holder.

    Attributes:
        holder: The host that took the duty last.
        former: Hosts that had it before, latest first.
        next_window: First window whose report is not fixed.
        reports: Fixed reports that may not have been accepted yet.
    """

    holder: Holder
    former: tuple[str, ...]
    next_window: int
    reports: tuple[UsageReport, ...] = ()


class DutyState(msgspec.Struct, frozen=True):
    """Both entries of the store, as far as known.

    Attributes:
        holder: The holder whose lease has not ended; ``None`` if there is
            none.
        holder_revision: Store revision of its entry; 0 if there is none.
        holder_seen: Store revision up to which this is known of the holder.
        record: The record; ``None`` before the first holder.
        record_revision: Store revision of the record; 0 if there is none.
    """

    holder: Holder | None = None
    holder_revision: int = 0
    holder_seen: int = 0
    record: Record | None = None
    record_revision: int = 0

    @property
    def token(self) -> int:
        """Highest token that was ever taken."""
        return self.record.holder.token if self.record is not None else 0

    def merge(self, other: DutyState) -> DutyState:
        """Return the newer of both for each entry."""
        newer = other if other.holder_seen > self.holder_seen else self
        recorded = (
            other if other.record_revision > self.record_revision else self
        )
        return DutyState(
            newer.holder,
            newer.holder_revision,
            newer.holder_seen,
            recorded.record,
            recorded.record_revision,
        )


def build_next_record(
    state: DutyState,
    host: str,
    incarnation: int,
    lease: int,
    first_window: int,
    min_token: int = 0,
) -> Record:
    """Build the record of a host that takes the duty.

    Args:
        state: State that the transaction expects.
        host: The host.
        incarnation: Which process of the host.
        lease: Lease of the host.
        first_window: First window to report if none was reported before.
        min_token: A token that was taken before, of which the store may have
            lost the record.
    """
    token = max(state.token, min_token) + 1
    holder = Holder(host, incarnation, token, lease)
    known = state.record
    if known is None:
        return Record(holder, (), first_window)
    names = (known.holder.host, *known.former)
    former = tuple(name for name in dict.fromkeys(names) if name != host)
    return Record(
        holder, former[:MAX_FORMER], known.next_window, known.reports
    )
