"""Fleet-wide rates under skewed and moving demand, in fake time.

Three ways to divide an account among hosts meet the same demand: a static
split, demand-following loans (the one in use), and an exchange in the
manner of the symmetric push-sum protocol (Blasa, Cafiero, Fortino, Di
Fatta), which averages with a random host in each round.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import Any
from typing import Protocol

import msgspec

from cowslipshift.coordination import borrowing
from cowslipshift.coordination import buckets
from cowslipshift.coordination import loans
from cowslipshift.coordination import shares

HOSTS = 10
HOLDERS = 6
RATE = 120.0
BURST = 120.0
LATENCY_S = 0.012
STEP_S = 0.005
STEPS_PER_ROUND = 10
ROUND_S = STEP_S * STEPS_PER_ROUND
MAX_WAIT_S = 0.5
MESSAGE_BYTES = 90
SECONDS = 20


class Scenario(msgspec.Struct, frozen=True):
    """Demand on one account.

    Attributes:
        phases: For each phase its length in seconds and the requests per
            second at each host.
        burst_at: Host that gets a whole burst in the first instant.
    """

    name: str
    phases: list[tuple[float, dict[int, float]]]
    burst_at: int | None = None


SCENARIOS = [
    Scenario("even", [(20, {h: RATE * 0.9 / HOSTS for h in range(HOSTS)})]),
    Scenario("one_host", [(20, {7: RATE * 0.9})]),
    Scenario(
        "moving",
        [(4, {h: RATE * 0.9}) for h in (0, 9, 4, 7, 2)],
    ),
    Scenario("burst", [(20, {8: RATE * 0.5})], burst_at=8),
    Scenario("five_times", [(20, {3: RATE * 5})]),
]


class Policy(Protocol):
    """A way to divide an account among hosts."""

    messages: int

    def record_arrival(self, host: int, now: float) -> None:
        """Note a request."""

    def try_take(self, host: int, now: float) -> bool:
        """Admit a request if the host has a token."""

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Exchange messages."""


class StaticSplit:
    """Each host has an equal part for good."""

    def __init__(self) -> None:
        self.messages = 0
        self._buckets = [buckets.TokenBucket(0.0) for _ in range(HOSTS)]
        for bucket in self._buckets:
            bucket.resize(RATE / HOSTS, BURST / HOSTS)
            bucket.tokens = BURST / HOSTS

    def record_arrival(self, host: int, now: float) -> None:
        """Note a request."""

    def try_take(self, host: int, now: float) -> bool:
        """Admit a request if the host has a token."""
        bucket = self._buckets[host]
        bucket.fill(now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Exchange nothing."""


class PushSum(StaticSplit):
    """Hosts halve their tokens and limits with a random host.

    As in symmetric push-sum, the receiver answers with half of what it
    has, and mass is conserved; here the mass is rate, burst and tokens.
    """

    def __init__(self) -> None:
        super().__init__()
        self._random = random.Random(1)

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Let each host exchange with a random one."""
        for host in range(HOSTS):
            other = self._random.randrange(HOSTS)
            if other == host:
                continue
            self.messages += 2
            first, second = self._buckets[host], self._buckets[other]
            first.fill(now)
            second.fill(now)
            rate = (first.rate + second.rate) / 2
            burst = (first.burst + second.burst) / 2
            tokens = (first.tokens + second.tokens) / 2
            for bucket in (first, second):
                bucket.tokens = tokens
                bucket.resize(rate, burst)


class LoanPolicy:
    """Demand-following loans between hosts and holders."""

    def __init__(self) -> None:
        self.messages = 0
        self._shares = [shares.QuotaShare("a", 0.0) for _ in range(HOSTS)]
        base = loans.Quota(RATE / HOLDERS, BURST / HOLDERS)
        for share in self._shares[:HOLDERS]:
            share.set_base(base, 0.0, True)
        self._mail: list[tuple[float, int, int, int, Any]] = []
        self._order = itertools.count()
        self._asked: dict[tuple[int, int], float] = {}

    def record_arrival(self, host: int, now: float) -> None:
        """Note a request."""
        self._shares[host].demand.record_arrival(now)

    def try_take(self, host: int, now: float) -> bool:
        """Admit a request if the host has a token."""
        self._deliver(now)
        return self._shares[host].try_take(now)

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Ask holders where demand lacks something."""
        self._deliver(now)
        for host, share in enumerate(self._shares):
            plan = borrowing.plan_requests(
                share,
                [str(h) for h in range(HOLDERS) if h != host],
                waiting.get(host, 0),
                ROUND_S,
                now,
            )
            for holder, rate, tokens in plan:
                key = (host, int(holder))
                if now - self._asked.get(key, -1.0) < 2 * LATENCY_S:
                    continue
                self._asked[key] = now
                want = share.build_request(holder, rate, tokens, now)
                self._post(now, host, int(holder), want)

    def _post(self, now: float, sender: int, target: int, item: Any) -> None:
        self.messages += 1
        entry = (now + LATENCY_S, next(self._order), sender, target, item)
        heapq.heappush(self._mail, entry)

    def _deliver(self, now: float) -> None:
        while self._mail and self._mail[0][0] <= now:
            at, _, sender, target, item = heapq.heappop(self._mail)
            share = self._shares[target]
            if isinstance(item, loans.LoanRequest):
                grant = share.lend(str(sender), item, at)
                if grant is not None:
                    self._post(at, target, sender, grant)
                for other in share.list_recalls(str(sender), item, at):
                    self._post(at, target, int(other), "recall")
            elif item == "recall":
                need = share.measure_needed_rate(str(sender), at)
                want = share.build_request(str(sender), need, 0.0, at)
                self._post(at, target, sender, want)
            else:
                share.accept(str(sender), item, at)


def run_scenario(policy: Policy, scenario: Scenario) -> dict[str, Any]:
    """Send a scenario's demand and count what becomes of it."""
    arrivals = _list_arrivals(scenario)
    waiting: dict[int, list[float]] = {}
    admitted = refused = first = 0
    oracle = _Oracle()
    step = -1
    while arrivals or waiting:
        step += 1
        now = step * STEP_S
        due = []
        while arrivals and arrivals[0][0] <= now:
            due.append(heapq.heappop(arrivals))
        for at, host in due:
            policy.record_arrival(host, at)
            waiting.setdefault(host, []).append(at)
        if step % STEPS_PER_ROUND == 0:
            counts = {h: len(queue) for h, queue in waiting.items()}
            policy.run_round(now, counts)
        for host, queue in list(waiting.items()):
            while queue and policy.try_take(host, now):
                queue.pop(0)
                admitted += 1
                oracle.take(now)
            late = [at for at in queue if now - at > MAX_WAIT_S]
            refused += len(late)
            first += sum(at < 1.0 for at in late)
            waiting[host] = queue[len(late) :]
            if not waiting[host]:
                del waiting[host]
    total = admitted + refused
    return {
        "sent": total,
        "refused": refused,
        "refused_part": round(refused / total, 5),
        "refused_of_first_second": first,
        "overrun_tokens": round(oracle.overrun, 3),
        "bytes_per_s_per_host": round(
            policy.messages * MESSAGE_BYTES / SECONDS / HOSTS, 1
        ),
    }


class _Oracle:
    """One exact bucket that notes by how much it is overrun."""

    def __init__(self) -> None:
        self.overrun = 0.0
        self._tokens = BURST
        self._now = 0.0

    def take(self, now: float) -> None:
        """Take one token."""
        self._tokens += RATE * (now - self._now)
        self._tokens = min(BURST, self._tokens) - 1.0
        self._now = now
        self.overrun = max(self.overrun, -self._tokens)


def _list_arrivals(scenario: Scenario) -> list[tuple[float, int]]:
    arrivals = []
    if scenario.burst_at is not None:
        count = int(BURST * 0.9)
        arrivals = [(0.01, scenario.burst_at)] * count
    start = 0.0
    for length, rates in scenario.phases:
        for host, rate in rates.items():
            arrivals += [
                (start + n / rate, host) for n in range(int(length * rate))
            ]
        start += length
    heapq.heapify(arrivals)
    return arrivals


def measure() -> dict[str, Any]:
    """Run all policies on all scenarios."""
    policies: dict[str, type[Any]] = {
        "static": StaticSplit,
        "push_sum": PushSum,
        "loans": LoanPolicy,
    }
    return {
        scenario.name: {
            name: run_scenario(policy(), scenario)
            for name, policy in policies.items()
        }
        for scenario in SCENARIOS
    }
