"""Fleet-wide rates and bursts as conserved shares with expiring loans.

The parts of an account's rate and burst that the hosts hold never sum to
more than the whole. A part moves as a loan: the lender stops using it
before the borrower starts, and takes it back only after the borrower must
have stopped by its own clock, which began when it asked. What a lost
message or a dead host takes along is lost for one term, never made twice.
"""

from __future__ import annotations

from cowslipshift.coordination import buckets
from cowslipshift.coordination import loans

LOAN_TERM_S = 4.0
"""Length of a loan."""

CLOCK_DRIFT = 0.01
"""Relative difference allowed between two hosts' monotonic clocks."""

DEMAND_MARGIN = 1.3
RECALL_INTERVAL_S = 0.05


RESERVE_S = 1.0
"""Seconds of demand for which tokens are kept or asked."""


class _Loan:
    __slots__ = ("sequence", "terms", "until_s")

    def __init__(
        self, terms: loans.Quota, until_s: float, sequence: int
    ) -> None:
        self.terms = terms
        self.until_s = until_s
        self.sequence = sequence


class QuotaShare:
    """This host's part of one account.

    Args:
        account: The client account.
        now: Monotonic time in seconds.
        sequence: Number that requests of earlier processes of this host
            have not reached.
    """

    def __init__(self, account: str, now: float, sequence: int = 0) -> None:
        self.account = account
        self.demand = buckets.DemandEstimator(now)
        self._now = now
        self._bucket = buckets.TokenBucket(now)
        self._base: loans.Quota | None = None
        self._lent: dict[str, _Loan] = {}
        self._borrowed: dict[str, _Loan] = {}
        self._wants: dict[str, tuple[float, float]] = {}
        self._sequence = sequence
        self._asked: dict[str, tuple[int, float]] = {}
        self._recalled: dict[str, float] = {}

    @property
    def is_holder(self) -> bool:
        """Whether this host holds a base part."""
        return self._base is not None

    def set_base(
        self, base: loans.Quota | None, now: float, full: bool = False
    ) -> None:
        """Take, change or give up the base part.

        A host that takes it must know that no other host still uses it.

        Args:
            base: The part, or ``None`` to give it up.
            now: Monotonic time in seconds.
            full: Whether the whole burst is at hand, which is so only when
                nobody used the account before.
        """
        self._settle(now)
        self._base = base
        self._resize()
        if full and base is not None:
            self._bucket.tokens = self._bucket.burst

    def drop_tokens(self, now: float) -> None:
        """Drop all tokens and borrowed parts, as after a pause."""
        self._settle(now)
        self._borrowed.clear()
        self._asked.clear()
        self._bucket.tokens = 0.0
        self._resize()

    def try_take(self, now: float) -> bool:
        """Take the token of one request.

        Returns:
            Whether there was one.
        """
        self._settle(now)
        if self._bucket.tokens < 1.0:
            return False
        self._bucket.tokens -= 1.0
        return True

    def measure_tokens(self, now: float) -> float:
        """Return the tokens at hand."""
        self._settle(now)
        return self._bucket.tokens

    def measure_rate(self, now: float) -> float:
        """Return the rate at which tokens accrue here."""
        self._settle(now)
        return self._bucket.rate

    def measure_wait(self, now: float) -> float:
        """Return the seconds until the next token accrues here."""
        self._settle(now)
        missing = 1.0 - self._bucket.tokens
        if missing <= 0.0:
            return 0.0
        if self._bucket.rate <= 0.0 or self._bucket.burst < 1.0:
            return float("inf")
        return missing / self._bucket.rate

    def measure_shortage(self, now: float) -> tuple[float, float]:
        """Return the rate and the tokens that demand lacks here."""
        self._settle(now)
        needed = self.demand.measure(now) * DEMAND_MARGIN
        rate = max(0.0, needed - self._bucket.rate)
        tokens = max(0.0, needed * RESERVE_S + 1.0 - self._bucket.tokens)
        return rate, tokens

    def measure_lent_wait(self, now: float) -> float:
        """Return the seconds until all that is lent has ended."""
        self._settle(now)
        return max(
            (loan.until_s - now for loan in self._lent.values()), default=0.0
        )

    def list_borrowed(self, now: float) -> dict[str, float]:
        """Return the borrowed rate by holder."""
        self._settle(now)
        return {who: loan.terms.rate for who, loan in self._borrowed.items()}

    def find_due(self, now: float, within_s: float) -> list[str]:
        """Return the holders whose loans end soon."""
        self._settle(now)
        return [
            who
            for who, loan in self._borrowed.items()
            if loan.until_s - now <= within_s
        ]

    def build_request(
        self, holder: str, rate: float, tokens: float, now: float
    ) -> loans.LoanRequest:
        """Build a request to a holder; earlier answers of it are void.

        Args:
            holder: The host to ask.
            rate: The whole rate that could be used from it; 0 gives back
                what it lent.
            tokens: Tokens that could be used at once.
            now: Monotonic time in seconds.
        """
        self._settle(now)
        returned_tokens = self._shrink(holder, rate)
        loan = self._borrowed.get(holder)
        self._sequence += 1
        self._asked[holder] = (self._sequence, now)
        return loans.LoanRequest(
            self.account,
            self._sequence,
            loan.terms if loan is not None else loans.NO_QUOTA,
            rate,
            tokens,
            returned_tokens,
        )

    def accept(self, holder: str, grant: loans.LoanGrant, now: float) -> bool:
        """Take the answer of a holder.

        Returns:
            Whether it added or kept anything.
        """
        self._settle(now)
        sequence, asked_s = self._asked.get(holder, (0, now))
        if grant.sequence != sequence:
            return False
        del self._asked[holder]
        until_s = asked_s + grant.term_s * (1 - CLOCK_DRIFT)
        if grant.quota.rate <= 0.0 and grant.quota.burst <= 0.0:
            self._borrowed.pop(holder, None)
        elif until_s > now:
            self._borrowed[holder] = _Loan(grant.quota, until_s, sequence)
        else:
            return False
        self._resize()
        tokens = self._bucket.tokens + grant.tokens
        self._bucket.tokens = min(tokens, self._bucket.burst)
        return grant.quota.rate > 0.0 or grant.tokens > 0.0

    def lend(
        self, who: str, want: loans.LoanRequest, now: float
    ) -> loans.LoanGrant | None:
        """Answer a borrower.

        What the borrower says it holds replaces what this host believed,
        since it takes no other answer any more. A smaller grant than that
        frees the difference only once the borrower says so or the loan
        has ended.

        Returns:
            The grant, or ``None`` for a request that was overtaken.
        """
        self._settle(now)
        loan = self._lent.get(who)
        if loan is not None and want.sequence <= loan.sequence:
            return None
        if self._base is None:
            return loans.LoanGrant(
                self.account, want.sequence, loans.NO_QUOTA, 0.0, 0.0
            )
        self._wants[who] = (want.rate, now + LOAN_TERM_S)
        self._lent.pop(who, None)
        self._resize()
        tokens = self._bucket.tokens + want.returned_tokens
        self._bucket.tokens = min(tokens, self._bucket.burst)
        quota, tokens = self._measure_offer(who, want, now)
        reserved = loans.Quota(
            max(quota.rate, want.held.rate),
            max(quota.burst, want.held.burst),
        )
        until_s = now + LOAN_TERM_S * (1 + CLOCK_DRIFT)
        self._lent[who] = _Loan(reserved, until_s, want.sequence)
        self._bucket.tokens -= tokens
        self._resize()
        return loans.LoanGrant(
            self.account, want.sequence, quota, tokens, LOAN_TERM_S
        )

    def list_recalls(
        self, who: str, want: loans.LoanRequest, now: float
    ) -> list[str]:
        """Return the borrowers to ask back from, after `lend` to another.

        Args:
            who: The host that asked.
            want: What it asked.
            now: Monotonic time in seconds.
        """
        loan = self._lent.get(who)
        if loan is None or loan.terms.rate >= want.rate:
            return []
        scale = self._measure_scale(now)
        recalls = []
        for other, lent in self._lent.items():
            due_s = self._recalled.get(other, float("-inf"))
            wanted, _ = self._wants.get(other, (0.0, 0.0))
            fair = wanted * scale * DEMAND_MARGIN
            if other == who or lent.terms.rate <= fair or now < due_s:
                continue
            self._recalled[other] = now + RECALL_INTERVAL_S
            recalls.append(other)
        return recalls

    def measure_needed_rate(self, holder: str, now: float) -> float:
        """Return the part of a loan that demand still needs."""
        self._settle(now)
        loan = self._borrowed.get(holder)
        base = self._base.rate if self._base is not None else 0.0
        total = sum(loan.terms.rate for loan in self._borrowed.values())
        if loan is None or total <= 0.0:
            return 0.0
        needed = self.demand.measure(now) * DEMAND_MARGIN - base
        return loan.terms.rate * min(1.0, max(0.0, needed / total))

    def _shrink(self, holder: str, rate: float) -> float:
        """Give up what is borrowed beyond a rate; return its tokens."""
        loan = self._borrowed.get(holder)
        if loan is None or rate >= loan.terms.rate:
            return 0.0
        before = self._bucket.tokens
        if rate <= 0.0:
            del self._borrowed[holder]
        else:
            part = rate / loan.terms.rate
            loan.terms = loans.Quota(rate, loan.terms.burst * part)
        self._resize()
        return before - self._bucket.tokens

    def _measure_offer(
        self, who: str, want: loans.LoanRequest, now: float
    ) -> tuple[loans.Quota, float]:
        base = self._base or loans.NO_QUOTA
        own = self.demand.measure(now) * DEMAND_MARGIN
        scale = self._measure_scale(now)
        lent_rate = sum(loan.terms.rate for loan in self._lent.values())
        lent_burst = sum(loan.terms.burst for loan in self._lent.values())
        free_rate = max(0.0, base.rate - lent_rate - own * scale)
        free_burst = max(0.0, base.burst - lent_burst)
        rate = max(0.0, min(want.rate * scale, free_rate))
        reserve = min(self._bucket.tokens, own * RESERVE_S)
        tokens = min(want.tokens, self._bucket.tokens - reserve, free_burst)
        tokens = max(0.0, tokens)
        part = rate / base.rate if base.rate > 0 else 0.0
        burst = min(free_burst, max(base.burst * part, tokens))
        if want.rate <= 0.0:
            return loans.NO_QUOTA, 0.0
        return loans.Quota(rate, burst), min(tokens, burst)

    def _measure_scale(self, now: float) -> float:
        """Return the part of all wants, own ones included, that can be met."""
        base = self._base or loans.NO_QUOTA
        own = self.demand.measure(now) * DEMAND_MARGIN
        total = own + sum(rate for rate, _ in self._wants.values())
        return min(1.0, base.rate / total) if total > 0.0 else 1.0

    def _resize(self) -> None:
        """Derive the bucket's limits from the parts at hand."""
        base = self._base or loans.NO_QUOTA
        lent = list(self._lent.values()) if self._base is not None else []
        borrowed = self._borrowed.values()
        self._bucket.resize(
            max(0.0, base.rate - sum(loan.terms.rate for loan in lent))
            + sum(loan.terms.rate for loan in borrowed),
            max(0.0, base.burst - sum(loan.terms.burst for loan in lent))
            + sum(loan.terms.burst for loan in borrowed),
        )

    def _settle(self, now: float) -> None:
        """Bring loans and tokens up to a moment.

        Loans end one after the other, so that nothing accrues at a rate
        that has ended.
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
            self._resize()
        self._bucket.fill(now)
        for who, (_, until_s) in list(self._wants.items()):
            if until_s <= now:
                del self._wants[who]


def _drop_ended(loans: dict[str, _Loan], now: float) -> None:
    for who, loan in list(loans.items()):
        if loan.until_s <= now:
            del loans[who]
