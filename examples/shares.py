"""A host borrows quota of a client account from another host."""

from __future__ import annotations

from cowslipshift.coordination import loans
from cowslipshift.coordination import shares


def main() -> None:
    """Lend part of a quota and admit requests with it."""
    holder = shares.QuotaShare("workshop", now=0.0)
    holder.set_base(loans.Quota(rate=10.0, burst=10.0), now=0.0, full=True)
    borrower = shares.QuotaShare("workshop", now=0.0)
    for _ in range(4):
        borrower.demand.record_arrival(0.0)
    request = borrower.build_request("holder", rate=4.0, tokens=4.0, now=0.0)
    grant = holder.lend("borrower", request, now=0.01)
    assert grant is not None
    borrower.accept("holder", grant, now=0.02)
    admitted = sum(borrower.try_take(0.02) for _ in range(4))
    left = holder.measure_tokens(0.02)
    print(f"borrower ran {admitted} requests, holder has {left:.1f} tokens")


if __name__ == "__main__":
    main()
