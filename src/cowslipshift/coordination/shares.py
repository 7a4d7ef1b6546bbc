"""Fleet-wide quotas as shares of hosts, with loans that expire.

The shares of an account's rate and burst that all hosts hold never sum to
more than the account's quota. A part of a share moves as a loan: the lender
stops using it before the borrower starts, and uses it again only after the
loan has ended by the borrower's clock, which counts from the sending of the
request. What a lost message or a failed host takes with it is unusable for
one loan term, but never used twice.
"""

from __future__ import annotations

from cowslipshift.coordination import buckets
from cowslipshift.coordination import loans

LOAN_TERM_S = 4.0
"""Length of a loan."""

CLOCK_DRIFT = 0.01
"""Largest allowed relative drift between two hosts' monotonic clocks."""

DEMAND_MARGIN = 1.3
"""Factor by which the needed rate exceeds the estimated demand."""

RECALL_INTERVAL_S = 0.05
"""Shortest time between two recalls from the same borrower."""

RESERVE_S = 1.0
"""Seconds of demand for which tokens are kept or requested."""


class _Loan:
    """Quota that is lent until a monotonic time in seconds."""

    __slots__ = ("quota", "sequence", "until_s")

    def __init__(
        self, quota: loans.Quota, until_s: float, sequence: int
    ) -> None:
        self.quota = quota
        self.until_s = until_s
        self.sequence = sequence


class QuotaShare:
    """This host's share of a client account's quota.

    A host with a base share is a holder and lends parts of it.

    Args:
        account: The client account.
        now: Monotonic time in seconds.
        sequence: Sequence number that requests of earlier processes of this
            host have not reached.
    """

    def __init__(self, account: str, now: float, sequence: int = 0) -> None:
        self.account = account
        self.demand = buckets.DemandEstimator(now)
        self._now = now
        self._bucket = buckets.TokenBucket(now)
        self._base: loans.Quota | None = None
        self._lent: dict[str, _Loan] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._requested_rates: dict[str, tuple[float, float]] = {}
        self._sequence = sequence
        self._pending_requests: dict[str, tuple[int, float]] = {}
        self._next_recall_s: dict[str, float] = {}

    @property
    def is_holder(self) -> bool:
        """Whether this host holds a base share."""
        return self._base is not None

    def set_base(
        self, base: loans.Quota | None, now: float, full: bool = False
    ) -> None:
        """Take, change or give up the base share.

        The caller must know that no other host still uses it.

        Args:
            base: The base share, or ``None`` to give it up.
            now: Monotonic time in seconds.
            full: Whether to start with all tokens of the burst, which is
                correct only if nobody has used the account before.
        """
        self._advance(now)
        self._base = base
        self._update_bucket()
        if full and base is not None:
            self._bucket.tokens = self._bucket.burst

    def drop_tokens(self, now: float) -> None:
        """Drop all tokens and borrowed quota, as after a pause."""
        self._advance(now)
        self._borrowed.clear()
        self._pending_requests.clear()
        self._bucket.tokens = 0.0
        self._update_bucket()

    def try_take(self, now: float) -> bool:
        """Take the token for one request.

        Returns:
            Whether a token was available.
        """
        self._advance(now)
        if self._bucket.tokens < 1.0:
            return False
        self._bucket.tokens -= 1.0
        return True

    def measure_tokens(self, now: float) -> float:
        """Return the number of available tokens."""
        self._advance(now)
        return self._bucket.tokens

    def measure_rate(self, now: float) -> float:
        """Return the tokens that accrue here per second."""
        self._advance(now)
        return self._bucket.rate

    def measure_wait(self, now: float) -> float:
        """Return the seconds until the next token accrues here."""
        self._advance(now)
        missing = 1.0 - self._bucket.tokens
        if missing <= 0.0:
            return 0.0
        if self._bucket.rate <= 0.0 or self._bucket.burst < 1.0:
            return float("inf")
        return missing / self._bucket.rate

    def measure_shortage(self, now: float) -> tuple[float, float]:
        """Return the rate and the tokens that are missing to meet demand."""
        self._advance(now)
        needed = self.demand.measure(now) * DEMAND_MARGIN
        rate = max(0.0, needed - self._bucket.rate)
        tokens = max(0.0, needed * RESERVE_S + 1.0 - self._bucket.tokens)
        return rate, tokens

    def measure_lent_wait(self, now: float) -> float:
        """Return the seconds until all loans to others have ended."""
        self._advance(now)
        return max(
            (loan.until_s - now for loan in self._lent.values()), default=0.0
        )

    def list_borrowed(self, now: float) -> dict[str, float]:
        """Return the borrowed rate by holder."""
        self._advance(now)
        return {
            holder: loan.quota.rate for holder, loan in self._borrowed.items()
        }

    def find_due(self, now: float, within_s: float) -> list[str]:
        """Return the holders whose loans end within a time in seconds."""
        self._advance(now)
        return [
            holder
            for holder, loan in self._borrowed.items()
            if loan.until_s - now <= within_s
        ]

    def build_request(
        self, holder: str, rate: float, tokens: float, now: float
    ) -> loans.LoanRequest:
        """Build a loan request; answers to earlier ones are then ignored.

        Args:
            holder: The host that the request is for.
            rate: Total rate that could be used from it; 0 ends the loan.
            tokens: Tokens that could be used at once.
            now: Monotonic time in seconds.
        """
        self._advance(now)
        returned_tokens = self._reduce_loan(holder, rate)
        loan = self._borrowed.get(holder)
        self._sequence += 1
        self._pending_requests[holder] = (self._sequence, now)
        return loans.LoanRequest(
            self.account,
            self._sequence,
            loan.quota if loan is not None else loans.NO_QUOTA,
            rate,
            tokens,
            returned_tokens,
        )

    def accept(self, holder: str, grant: loans.LoanGrant, now: float) -> bool:
        """Apply a holder's answer.

        Returns:
            Whether it is valid and grants any rate or tokens.
        """
        self._advance(now)
        sequence, requested_s = self._pending_requests.get(holder, (0, now))
        if grant.sequence != sequence:
            return False
        del self._pending_requests[holder]
        until_s = requested_s + grant.term_s * (1 - CLOCK_DRIFT)
        if grant.quota.rate <= 0.0 and grant.quota.burst <= 0.0:
            self._borrowed.pop(holder, None)
        elif until_s > now:
            self._borrowed[holder] = _Loan(grant.quota, until_s, sequence)
        else:
            return False
        self._update_bucket()
        tokens = self._bucket.tokens + grant.tokens
        self._bucket.tokens = min(tokens, self._bucket.burst)
        return grant.quota.rate > 0.0 or grant.tokens > 0.0

    def lend(
        self, borrower: str, request: loans.LoanRequest, now: float
    ) -> loans.LoanGrant | None:
        """Answer a borrower's loan request.

        The quota that the borrower reports as held replaces this host's
        record of the loan, since the borrower ignores answers to earlier
        requests. If less than that is granted, the difference is free only
        once the borrower reports that it holds less or the loan has ended.

        Returns:
            The grant, or ``None`` if this or a later request was answered
            before.
        """
        self._advance(now)
        loan = self._lent.get(borrower)
        if loan is not None and request.sequence <= loan.sequence:
            return None
        if self._base is None:
            return loans.LoanGrant(
                self.account, request.sequence, loans.NO_QUOTA, 0.0, 0.0
            )
        self._requested_rates[borrower] = (request.rate, now + LOAN_TERM_S)
        self._lent.pop(borrower, None)
        self._update_bucket()
        tokens = self._bucket.tokens + request.returned_tokens
        self._bucket.tokens = min(tokens, self._bucket.burst)
        quota, tokens = self._compute_offer(borrower, request, now)
        reserved = loans.Quota(
            max(quota.rate, request.held.rate),
            max(quota.burst, request.held.burst),
        )
        until_s = now + LOAN_TERM_S * (1 + CLOCK_DRIFT)
        self._lent[borrower] = _Loan(reserved, until_s, request.sequence)
        self._bucket.tokens -= tokens
        self._update_bucket()
        return loans.LoanGrant(
            self.account, request.sequence, quota, tokens, LOAN_TERM_S
        )

    def list_recalls(
        self, borrower: str, request: loans.LoanRequest, now: float
    ) -> list[str]:
        """Return the borrowers whose loans are to be recalled.

        Call it after `lend`, with the same arguments.

        Args:
            borrower: The host whose request could not be met.
            request: Its request.
            now: Monotonic time in seconds.
        """
        loan = self._lent.get(borrower)
        if loan is None or loan.quota.rate >= request.rate:
            return []
        scale = self._compute_scale(now)
        recalls = []
        for other, lent in self._lent.items():
            not_before_s = self._next_recall_s.get(other, float("-inf"))
            requested, _ = self._requested_rates.get(other, (0.0, 0.0))
            fair_rate = requested * scale * DEMAND_MARGIN
            if (
                other == borrower
                or lent.quota.rate <= fair_rate
                or now < not_before_s
            ):
                continue
            self._next_recall_s[other] = now + RECALL_INTERVAL_S
            recalls.append(other)
        return recalls

    def measure_needed_rate(self, holder: str, now: float) -> float:
        """Return the rate of a loan that demand still needs."""
        self._advance(now)
        loan = self._borrowed.get(holder)
        base = self._base.rate if self._base is not None else 0.0
        total = sum(loan.quota.rate for loan in self._borrowed.values())
        if loan is None or total <= 0.0:
            return 0.0
        needed = self.demand.measure(now) * DEMAND_MARGIN - base
        return loan.quota.rate * min(1.0, max(0.0, needed / total))

    def _reduce_loan(self, holder: str, rate: float) -> float:
        """Reduce a loan to a rate; return the tokens given up."""
        loan = self._borrowed.get(holder)
        if loan is None or rate >= loan.quota.rate:
            return 0.0
        before = self._bucket.tokens
        if rate <= 0.0:
            del self._borrowed[holder]
        else:
            fraction = rate / loan.quota.rate
            loan.quota = loans.Quota(rate, loan.quota.burst * fraction)
        self._update_bucket()
        return before - self._bucket.tokens

    def _compute_offer(
        self, borrower: str, request: loans.LoanRequest, now: float
    ) -> tuple[loans.Quota, float]:
        base = self._base or loans.NO_QUOTA
        own = self.demand.measure(now) * DEMAND_MARGIN
        scale = self._compute_scale(now)
        lent_rate = sum(loan.quota.rate for loan in self._lent.values())
        lent_burst = sum(loan.quota.burst for loan in self._lent.values())
        free_rate = max(0.0, base.rate - lent_rate - own * scale)
        free_burst = max(0.0, base.burst - lent_burst)
        rate = max(0.0, min(request.rate * scale, free_rate))
        reserve = min(self._bucket.tokens, own * RESERVE_S)
        tokens = min(request.tokens, self._bucket.tokens - reserve, free_burst)
        tokens = max(0.0, tokens)
        fraction = rate / base.rate if base.rate > 0 else 0.0
        burst = min(free_burst, max(base.burst * fraction, tokens))
        if request.rate <= 0.0:
            return loans.NO_QUOTA, 0.0
        return loans.Quota(rate, burst), min(tokens, burst)

    def _compute_scale(self, now: float) -> float:
        """Return the fraction of own and requested rates that can be met."""
        base = self._base or loans.NO_QUOTA
        own = self.demand.measure(now) * DEMAND_MARGIN
        total = own + sum(rate for rate, _ in self._requested_rates.values())
        return min(1.0, base.rate / total) if total > 0.0 else 1.0

    def _update_bucket(self) -> None:
        """Set the bucket's limits from the base share and all loans."""
        base = self._base or loans.NO_QUOTA
        lent = list(self._lent.values()) if self._base is not None else []
        borrowed = self._borrowed.values()
        self._bucket.resize(
            max(0.0, base.rate - sum(loan.quota.rate for loan in lent))
            + sum(loan.quota.rate for loan in borrowed),
            max(0.0, base.burst - sum(loan.quota.burst for loan in lent))
            + sum(loan.quota.burst for loan in borrowed),
        )

    def _advance(self, now: float) -> None:
        """Advance loans and tokens to the present time.

        Loans are ended one after the other, so that no tokens accrue at
        the rate of a loan after its end.
        """
        now = max(now, self._now)
        self._now = now
        ends = sorted(
            loan.until_s
            for loan in (*self._borrowed.values(), *self._lent.values())
            if loan.until_s <= now
        )
        for end_s in ends:
            self._bucket.fill(end_s)
            _drop_ended(self._borrowed, end_s)
            _drop_ended(self._lent, end_s)
            self._update_bucket()
        self._bucket.fill(now)
        for borrower, (_, until_s) in list(self._requested_rates.items()):
            if until_s <= now:
                del self._requested_rates[borrower]


def _drop_ended(active: dict[str, _Loan], now: float) -> None:
    for host, loan in list(active.items()):
        if loan.until_s <= now:
            del active[host]
