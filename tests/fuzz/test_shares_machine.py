"""An account never admits more than rate x t + burst requests.

Guards against quota that two hosts use at the same time when loan messages
are lost, late or repeated, or when hosts are replaced.
"""

from __future__ import annotations

from hypothesis import stateful
from hypothesis import strategies as st

from cowslipshift.coordination import loans
from cowslipshift.coordination import shares
from cowslipshift.serving.decision import quotas

HOSTS = 4
HOLDERS = 3
RATE = 6.0
BURST = 9.0
TOLERANCE = 1e-6

hosts = st.integers(0, HOSTS - 1)
times = st.sampled_from([0.01, 0.1, 0.5, 1.0, 2.0, 3.9, 4.1, 9.0])


class Oracle:
    """Token bucket of the whole fleet, as the reference."""

    def __init__(self) -> None:
        self.tokens = BURST
        self.now = 0.0

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.tokens = min(BURST, self.tokens + RATE * seconds)

    def take(self) -> None:
        self.tokens -= 1.0
        assert self.tokens >= -TOLERANCE, "the account exceeded its rate"


class SharesMachine(stateful.RuleBasedStateMachine):
    """Hosts whose messages are lost, late or repeated, and that die."""

    def __init__(self) -> None:
        super().__init__()
        self.oracle = Oracle()
        self.sequence = 0
        self.base_from_s = dict.fromkeys(range(HOSTS), 0.0)
        self.shares = [self.build_share(n) for n in range(HOSTS)]
        self.requests: list[tuple[int, int, loans.LoanRequest]] = []
        self.grants: list[tuple[int, int, loans.LoanGrant]] = []
        for number in range(HOLDERS):
            self.shares[number].set_base(self.base, self.clock(number), True)

    @property
    def base(self) -> loans.Quota:
        return loans.Quota(RATE / HOLDERS, BURST / HOLDERS)

    def clock(self, host: int) -> float:
        """Return a host's monotonic time; each clock has its own origin."""
        return self.oracle.now + 1000.0 * host

    def build_share(self, host: int) -> shares.QuotaShare:
        self.sequence += 1_000_000
        return shares.QuotaShare("a", self.clock(host), self.sequence)

    @stateful.rule(seconds=times)
    def advance(self, seconds: float) -> None:
        self.oracle.advance(seconds)
        for host in range(HOLDERS):
            share = self.shares[host]
            if not share.is_holder and (
                self.oracle.now >= self.base_from_s[host]
            ):
                share.set_base(self.base, self.clock(host))

    @stateful.rule(host=hosts, count=st.integers(1, 12))
    def request(self, host: int, count: int) -> None:
        share = self.shares[host]
        for _ in range(count):
            share.demand.record_arrival(self.clock(host))
            if share.try_take(self.clock(host)):
                self.oracle.take()

    @stateful.rule(
        borrower=hosts,
        holder=hosts,
        rate=st.sampled_from([0.0, 0.5, 2.0, 6.0, 50.0]),
        tokens=st.sampled_from([0.0, 1.0, 5.0, 50.0]),
    )
    def ask(
        self, borrower: int, holder: int, rate: float, tokens: float
    ) -> None:
        if borrower == holder:
            return
        loan_request = self.shares[borrower].build_request(
            str(holder), rate, tokens, self.clock(borrower)
        )
        self.requests.append((borrower, holder, loan_request))

    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver_request(self, data: st.DataObject, keep: bool) -> None:
        if not self.requests:
            return
        index = data.draw(st.integers(0, len(self.requests) - 1))
        borrower, holder, loan_request = self.requests[index]
        if not keep:
            del self.requests[index]
        grant = self.shares[holder].lend(
            str(borrower), loan_request, self.clock(holder)
        )
        if grant is not None:
            self.grants.append((holder, borrower, grant))
        now = self.clock(holder)
        for other in self.shares[holder].list_recalls(
            str(borrower), loan_request, now
        ):
            self.recall(int(other), holder)

    def recall(self, borrower: int, holder: int) -> None:
        share, now = self.shares[borrower], self.clock(borrower)
        needed_rate = share.measure_needed_rate(str(holder), now)
        self.requests.append(
            (
                borrower,
                holder,
                share.build_request(str(holder), needed_rate, 0.0, now),
            )
        )

    @stateful.rule(data=st.data(), keep=st.booleans())
    def deliver_grant(self, data: st.DataObject, keep: bool) -> None:
        if not self.grants:
            return
        index = data.draw(st.integers(0, len(self.grants) - 1))
        holder, borrower, grant = self.grants[index]
        if not keep:
            del self.grants[index]
        self.shares[borrower].accept(str(holder), grant, self.clock(borrower))

    @stateful.rule()
    def lose_messages(self) -> None:
        self.requests.clear()
        self.grants.clear()

    @stateful.rule(host=hosts)
    def replace(self, host: int) -> None:
        """A host dies and a new process starts under its name."""
        self.shares[host] = self.build_share(host)
        self.base_from_s[host] = self.oracle.now + quotas.HOLD_S

    @stateful.rule(host=hosts)
    def resume_after_pause(self, host: int) -> None:
        self.shares[host].drop_tokens(self.clock(host))

    @stateful.invariant()
    def check_shares_within_quota(self) -> None:
        now = [self.clock(n) for n in range(HOSTS)]
        rate = sum(
            s.measure_rate(t) for s, t in zip(self.shares, now, strict=True)
        )
        assert rate <= RATE + TOLERANCE
        tokens = sum(
            s.measure_tokens(t) for s, t in zip(self.shares, now, strict=True)
        )
        assert tokens <= self.oracle.tokens + TOLERANCE


TestShares = SharesMachine.TestCase
