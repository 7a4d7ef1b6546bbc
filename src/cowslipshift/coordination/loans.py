"""What borrowers of an account's share and its holders tell each other."""

from __future__ import annotations

import msgspec


class Quota(msgspec.Struct, frozen=True):
    """A share or a part of one.

    Attributes:
        rate: Requests per second.
        burst: Most tokens that may be saved up.
    """

    rate: float
    burst: float


NO_QUOTA = Quota(0.0, 0.0)


class LoanRequest(msgspec.Struct, frozen=True):
    """What a borrower asks of a holder, and what it has of it.

    Attributes:
        account: The client account.
        sequence: Grows with each request of this borrower process; the
            borrower drops answers to all but its latest request.
        held: What it has from this holder, as it understood it.
        rate: The whole rate that it could use from this holder.
        tokens: Tokens that it could use at once.
        returned_tokens: Tokens that it gives back.
    """

    account: str
    sequence: int
    held: Quota = msgspec.field(name="holds")
    rate: float
    tokens: float
    returned_tokens: float = msgspec.field(default=0.0, name="returns")


class LoanGrant(msgspec.Struct, frozen=True):
    """A holder's answer.

    Attributes:
        account: The client account.
        sequence: The request that is answered.
        quota: What the borrower has from now on.
        tokens: Tokens added.
        term_s: How long, counted from when the borrower asked.
    """

    account: str
    sequence: int
    quota: Quota = msgspec.field(name="whole")
    tokens: float
    term_s: float
