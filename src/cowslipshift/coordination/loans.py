"""Messages about loans of an account's quota between hosts.

A holder is a host that holds a base share and lends parts of it.
"""

from __future__ import annotations

import msgspec


class Quota(msgspec.Struct, frozen=True):
    """A rate limit, or a part of one.

    Attributes:
        rate: Requests per second.
        burst: Most tokens that may be saved up.
    """

    rate: float
    burst: float


NO_QUOTA = Quota(0.0, 0.0)


class LoanRequest(msgspec.Struct, frozen=True):
    """Request of a borrower to a holder to grant, change or end a loan.

    Attributes:
        account: The client account.
        sequence: Grows with each request of this borrower process; the
            borrower ignores answers to all but its latest request.
        held: Quota that the borrower holds from this holder by its own
            record.
        rate: Total rate that it could use from this holder.
        tokens: Tokens that it could use at once.
        returned_tokens: Tokens that it returns.
    """

    account: str
    sequence: int
    held: Quota = msgspec.field(name="holds")
    rate: float
    tokens: float
    returned_tokens: float = msgspec.field(default=0.0, name="returns")


class LoanGrant(msgspec.Struct, frozen=True):
    """Answer of a holder to a loan request.

    Attributes:
        account: The client account.
        sequence: Sequence number of the answered request.
        quota: Total quota that is lent to the borrower from now on.
        tokens: Tokens transferred to the borrower.
        term_s: Length of the loan in seconds, counted from the sending of
            the request.
    """

    account: str
    sequence: int
    quota: Quota = msgspec.field(name="whole")
    tokens: float
    term_s: float
