"""Calls of the store that a tenure proposes."""

from __future__ import annotations

import msgspec

from cowslipshift.duties import model


class ReadState(msgspec.Struct, frozen=True):
    """Read both entries."""


class GrantLease(msgspec.Struct, frozen=True):
    """Create a lease.

    Attributes:
        ttl_s: Its time to live.
    """

    ttl_s: float


class RenewLease(msgspec.Struct, frozen=True):
    """Renew a lease."""

    lease: int


class EndLease(msgspec.Struct, frozen=True):
    """End a lease, and with it the entry of the holder."""

    lease: int


class WriteRecord(msgspec.Struct, frozen=True):
    """Write the record if both entries are as expected.

    Attributes:
        expected: The entries as they have to be.
        record: The new record.
        is_take: Whether the holder's entry is written too, under the lease
            that the record names.
    """

    expected: model.DutyState
    record: model.Record
    is_take: bool


Action = ReadState | GrantLease | RenewLease | EndLease | WriteRecord
