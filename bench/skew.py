"""Fleet-wide rates under skewed and moving demand, in simulated time.

Three policies that divide an account among hosts get the same demand: a
static split, demand-following loans (the policy in use), and an exchange
after the symmetric push-sum protocol (Blasa, Cafiero, Fortino, Di Fatta), in
which a host averages with a random host in each round.
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

HOST_COUNT = 10
HOLDER_COUNT = 6
RATE_PER_S = 120.0
BURST = 120.0
LATENCY_S = 0.012
STEP_S = 0.005
STEPS_PER_ROUND = 10
ROUND_S = STEP_S * STEPS_PER_ROUND
MAX_WAIT_S = 0.5
MESSAGE_BYTES = 90
SCENARIO_S = 20


class Scenario(msgspec.Struct, frozen=True):
    """Demand for the quota of one account.

    Attributes:
        phases: For each phase its length in seconds and the requests per
            second by host.
        burst_at: Host that gets 0.9 of the burst after 10 ms, or ``None``.
    """

    name: str
    phases: list[tuple[float, dict[int, float]]]
    burst_at: int | None = None


SCENARIOS = [
    Scenario(
        "even",
        [(20, {h: RATE_PER_S * 0.9 / HOST_COUNT for h in range(HOST_COUNT)})],
    ),
    Scenario("one_host", [(20, {7: RATE_PER_S * 0.9})]),
    Scenario(
        "moving",
        [(4, {h: RATE_PER_S * 0.9}) for h in (0, 9, 4, 7, 2)],
    ),
    Scenario("burst", [(20, {8: RATE_PER_S * 0.5})], burst_at=8),
    Scenario("five_times", [(20, {3: RATE_PER_S * 5})]),
]


class Policy(Protocol):
    """Divides the quota of an account among hosts."""

    messages: int

    def record_arrival(self, host: int, now: float) -> None:
        """Record the arrival of a request."""

    def try_take(self, host: int, now: float) -> bool:
        """Take a token of a host; return whether it had one."""

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Exchange messages.

        Args:
            now: Present time.
            waiting: Number of waiting requests by host.
        """


class StaticSplit:
    """Gives each host a fixed equal share."""

    def __init__(self) -> None:
        self.messages = 0
        self._buckets = [buckets.TokenBucket(0.0) for _ in range(HOST_COUNT)]
        for bucket in self._buckets:
            bucket.resize(RATE_PER_S / HOST_COUNT, BURST / HOST_COUNT)
            bucket.tokens = BURST / HOST_COUNT

    def record_arrival(self, host: int, now: float) -> None:
        """Record the arrival of a request."""

    def try_take(self, host: int, now: float) -> bool:
        """Take a token of a host; return whether it had one."""
        bucket = self._buckets[host]
        bucket.fill(now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Exchange no messages."""


class PushSum(StaticSplit):
    """Averages tokens and limits of each host with those of a random host.

    As in symmetric push-sum, the receiver answers with half of what it
    has, and mass is conserved; here the mass is rate, burst and tokens.
    """

    def __init__(self) -> None:
        super().__init__()
        self._random = random.Random(1)

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Average each host with a random one."""
        for host in range(HOST_COUNT):
            other = self._random.randrange(HOST_COUNT)
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
    """Lends quota from its holders to the hosts that have demand."""

    def __init__(self) -> None:
        self.messages = 0
        self._shares = [shares.QuotaShare("a", 0.0) for _ in range(HOST_COUNT)]
        base = loans.Quota(RATE_PER_S / HOLDER_COUNT, BURST / HOLDER_COUNT)
        for share in self._shares[:HOLDER_COUNT]:
            share.set_base(base, 0.0, True)
        self._messages_in_flight: list[tuple[float, int, int, int, Any]] = []
        self._sequence = itertools.count()
        self._last_request_s: dict[tuple[int, int], float] = {}

    def record_arrival(self, host: int, now: float) -> None:
        """Record the arrival of a request."""
        self._shares[host].demand.record_arrival(now)

    def try_take(self, host: int, now: float) -> bool:
        """Take a token of a host; return whether it had one."""
        self._deliver(now)
        return self._shares[host].try_take(now)

    def run_round(self, now: float, waiting: dict[int, int]) -> None:
        """Send loan requests for hosts whose quota is below their demand."""
        self._deliver(now)
        for host, share in enumerate(self._shares):
            plan = borrowing.plan_requests(
                share,
                [str(h) for h in range(HOLDER_COUNT) if h != host],
                waiting.get(host, 0),
                ROUND_S,
                now,
            )
            for holder, rate, tokens in plan:
                key = (host, int(holder))
                if now - self._last_request_s.get(key, -1.0) < 2 * LATENCY_S:
                    continue
                self._last_request_s[key] = now
                request = share.build_request(holder, rate, tokens, now)
                self._send(now, host, int(holder), request)

    def _send(self, now: float, sender: int, target: int, item: Any) -> None:
        self.messages += 1
        entry = (now + LATENCY_S, next(self._sequence), sender, target, item)
        heapq.heappush(self._messages_in_flight, entry)

    def _deliver(self, now: float) -> None:
        while (
            self._messages_in_flight and self._messages_in_flight[0][0] <= now
        ):
            at, _, sender, target, item = heapq.heappop(
                self._messages_in_flight
            )
            share = self._shares[target]
            if isinstance(item, loans.LoanRequest):
                grant = share.lend(str(sender), item, at)
                if grant is not None:
                    self._send(at, target, sender, grant)
                for other in share.list_recalls(str(sender), item, at):
                    self._send(at, target, int(other), "recall")
            elif item == "recall":
                needed_rate = share.measure_needed_rate(str(sender), at)
                request = share.build_request(
                    str(sender), needed_rate, 0.0, at
                )
                self._send(at, target, sender, request)
            else:
                share.accept(str(sender), item, at)


def run_scenario(policy: Policy, scenario: Scenario) -> dict[str, Any]:
    """Run a scenario and count admitted and refused requests."""
    arrivals = _list_arrivals(scenario)
    waiting: dict[int, list[float]] = {}
    admitted = refused = first = 0
    reference = _ReferenceBucket()
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
                reference.take(now)
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
        "overrun_tokens": round(reference.overrun, 3),
        "bytes_per_s_per_host": round(
            policy.messages * MESSAGE_BYTES / SCENARIO_S / HOST_COUNT, 1
        ),
    }


class _ReferenceBucket:
    """One exact token bucket that records its largest overrun."""

    def __init__(self) -> None:
        self.overrun = 0.0
        self._tokens = BURST
        self._now = 0.0

    def take(self, now: float) -> None:
        """Take one token, even if there is none."""
        self._tokens += RATE_PER_S * (now - self._now)
        self._tokens = min(BURST, self._tokens) - 1.0
        self._now = now
        self.overrun = max(self.overrun, -self._tokens)


def _list_arrivals(scenario: Scenario) -> list[tuple[float, int]]:
    arrivals = []
    if scenario.burst_at is not None:
        count = int(BURST * 0.9)
        arrivals = [(0.01, scenario.burst_at)] * count
    start_s = 0.0
    for length, rates in scenario.phases:
        for host, rate in rates.items():
            arrivals += [
                (start_s + n / rate, host) for n in range(int(length * rate))
            ]
        start_s += length
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
