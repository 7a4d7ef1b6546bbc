"""Who gets room at servers that have too little of it."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from tests import builders
from tests.admission import queueing

from cowslipshift.admission import activation
from cowslipshift.admission import deadlines
from cowslipshift.admission import urgency
from cowslipshift.steering import calls
from cowslipshift.steering import model

OWN, MOVED = "sheets", "hints"


@dataclasses.dataclass
class Desk:
    """One host's admission to a service, whose load a test sets."""

    policy: urgency.UrgencyAdmission
    configuration: model.Configuration
    now: float = 100.0
    number: int = 0

    def __post_init__(self) -> None:
        self.balancer = builders.build_balancer(
            backends=(builders.build_backend("s", slots=queueing.SLOTS),),
            configuration=self.configuration,
        )
        self.state = self.balancer.inventory.by_id["s"]

    def ask(
        self, route: int = 0, load: int = 0, age_s: float = 0.0, **fields
    ) -> tuple[calls.Call, calls.Refusal | None]:
        """Let a request arrive while the server has a load."""
        self.number += 1
        call = calls.Call(
            id=f"r{self.number}",
            route=self.configuration.routes[route],
            account=model.Account("a", 1, 0.0, 0.0),
            affinity_key=f"k{self.number}",
            service=OWN,
            arrived_s=self.now,
            deadline_s=self.now + 1.2,
            regions=None,
            uses_new_version=False,
            tried=set(),
            gives_up_s=self.now + 5.0,
            unix_offset_s=queueing.UNIX_OFFSET_S,
        )
        call = msgspec.structs.replace(call, **fields)
        self.state.record_load(load, 0, self.now - age_s)
        queue_s = max(0, load + 1 - queueing.SLOTS) / queueing.SLOTS * 0.3
        choice = calls.Choice(
            self.state, 0.3 + queue_s, 0.3, True, 0, load, queue_s
        )
        return call, self.policy.review(call, choice, self.now)

    def find_promise(self, route: int, load: int) -> tuple[str, calls.Refusal]:
        """Ask as one caller after the other until one is promised room."""
        for number in range(1000):
            key = f"p{number}"
            refusal = self.ask(route, load, affinity_key=key)[1]
            if refusal is not None and refusal.is_promised:
                return key, refusal
            self.now += 0.01
        raise AssertionError("no promise was given")

    def press(self, load: int, seconds: float, *routes: int) -> list[int]:
        """Keep the load for some time; return who was admitted, by route."""
        admitted = [0] * len(self.configuration.routes)
        for _ in range(int(seconds * 20)):
            self.now += 0.05
            for route in routes:
                admitted[route] += self.ask(route, load)[1] is None
        return admitted


def build_desk(
    *priorities: int, hosts: int = queueing.HOSTS, **fields
) -> Desk:
    configuration = queueing.build_configuration(*priorities)
    membership = queueing.build_membership(hosts)
    balancer = builders.build_balancer(
        backends=(builders.build_backend("s", slots=queueing.SLOTS),)
    )
    policy = urgency.UrgencyAdmission(
        deadlines.DeadlineAdmission(), membership, balancer.inventory
    )
    policy.set_configuration(configuration)
    desk = Desk(policy, configuration, **fields)
    desk.balancer = balancer
    desk.state = balancer.inventory.by_id["s"]
    return desk


@pytest.mark.parametrize("rates", [(6, 24), (10, 30), (15, 15), (0, 40)])
def test_overload_no_longer_makes_everyone_late(rates) -> None:
    """First come, first served keeps a queue in which all answers are late."""
    worths = []
    for is_baseline in (True, False):
        queue = queueing.Queue(queueing.build_configuration(0, 1), is_baseline)
        queue.run({"p0": rates[0], "p1": rates[1]}, 20.0)
        tallies = queue.tallies.values()
        worths.append(
            sum(t.in_target + 0.2 * t.late for t in tallies)
            / sum(t.sent for t in tallies)
        )
        if not is_baseline and rates[0]:
            served = [
                queue.tallies[name].in_target / queue.tallies[name].sent
                for name in ("p0", "p1")
            ]
            assert served[0] > served[1]
    assert worths[1] > 1.4 * worths[0]


def test_refusals_cost_no_answers() -> None:
    """As many are answered as where all wait until their deadlines."""
    answered = []
    for is_baseline in (True, False):
        queue = queueing.Queue(queueing.build_configuration(0, 1), is_baseline)
        queue.run({"p0": 10, "p1": 30}, 20.0)
        answered.append(sum(t.admitted for t in queue.tallies.values()))
    assert answered[1] > 0.95 * answered[0]


@hypothesis.settings(max_examples=12, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.integers(0, 2), min_size=2, max_size=3, unique=True
    ),
    strategies.lists(strategies.integers(1, 30), min_size=3, max_size=3),
    strategies.integers(1, 9),
)
def test_nobody_starves(priorities, rates, seed) -> None:
    queue = queueing.Queue(
        queueing.build_configuration(*priorities), seed=seed
    )
    queue.run({f"p{p}": rates[p] for p in priorities}, 15.0)
    for tallies in (queue.tallies, queue.by_account):
        asked = sum(t.sent for t in tallies.values())
        all_share = sum(t.admitted for t in tallies.values()) / asked
        for tally in tallies.values():
            # One request may be unlucky; twenty are not.
            if tally.sent >= 20:
                assert tally.admitted / tally.sent >= 0.25 * all_share


@hypothesis.given(
    strategies.integers(0, queueing.SLOTS * 4), strategies.floats(0.0, 4.0)
)
def test_free_servers_refuse_nobody(load: int, seconds: float) -> None:
    """Whatever the time before, once the load is known to be gone."""
    desk = build_desk(0, 1)
    desk.press(load, seconds, 0, 1)
    assert desk.ask(1, load=2)[1] is None
    # Nobody is refused for want of room where half of the slots are free.
    desk.press(queueing.SLOTS - 1, 3.0, 1)
    assert desk.press(queueing.SLOTS - 1, 1.0, 1) == [0, 20]


def test_single_request_in_calm_is_served_whatever_one_report_says() -> None:
    desk = build_desk(0, 1)
    assert desk.ask(1, load=queueing.SLOTS + 6)[1] is None


def test_shares_change_in_small_steps() -> None:
    desk = build_desk(0, 1)
    shares = []
    for _ in range(100):
        desk.now += 0.05
        shares.append(desk.ask(1, load=16)[0].share)
    steps = [abs(b - a) for a, b in zip(shares, shares[1:], strict=False)]
    assert max(steps) < 0.1
    assert shares[-1] < 0.5


def test_urgent_requests_come_first() -> None:
    desk = build_desk(0, 1)
    desk.press(14, 2.0, 0, 1)
    urgent, other = desk.press(14, 4.0, 0, 1)
    assert urgent > 1.5 * other
    assert other > 0.05 * urgent


def test_account_priority_comes_before_route_priority() -> None:
    desk = build_desk(0, 1)
    first = model.Account("first", 0, 0.0, 0.0)
    admitted = {"first": 0, "a": 0}
    for _ in range(160):
        desk.now += 0.05
        # The urgent route of a less urgent account, and the reverse.
        admitted["a"] += desk.ask(0, 14)[1] is None
        admitted["first"] += desk.ask(1, 14, account=first)[1] is None
    assert admitted["first"] > 1.3 * admitted["a"]


def test_moved_urgent_requests_leave_room_to_a_services_own() -> None:
    """A claim on half of what is admitted, then no precedence."""
    shares = []
    for is_visitor in (False, True):
        desk = build_desk(0, 1)
        if is_visitor:
            moved = msgspec.structs.replace(
                desk.configuration.routes[0],
                weighted_services=(model.WeightedService(MOVED, 1.0),),
            )
            old = msgspec.structs.replace(
                desk.configuration,
                routes=(moved, desk.configuration.routes[1]),
            )
            desk = build_desk(0, 1)
            desk.policy = urgency.UrgencyAdmission(
                deadlines.DeadlineAdmission(),
                queueing.build_membership(),
                desk.balancer.inventory,
            )
            desk.policy.set_configuration(old)
            desk.policy.set_configuration(desk.configuration)
        admitted = desk.press(14, 6.0, 0, 0, 0, 1)
        shares.append(admitted[1] / sum(admitted))
    assert shares[1] > 1.2 * shares[0]


def test_refused_caller_is_refused_next_door_and_admitted_in_its_turn() -> (
    None
):
    """Also if the host that promised it died: the turn is no one's state."""
    first, second = build_desk(0, 1), build_desk(0, 1)
    for desk in (first, second):
        desk.press(17, 3.0, 1)
    outcomes = []
    for number in range(200):
        caller = {"affinity_key": f"c{number}", "id": f"x{number}"}
        here = first.ask(1, 17, **caller)[1]
        there = second.ask(1, 17, **caller)[1]
        outcomes.append((here is None) == (there is None))
    assert sum(outcomes) >= 195
    key, promised = first.find_promise(1, 17)
    wait_s = promised.retry_after_s
    assert wait_s <= 5.0 / 3.0
    due_s = first.now + wait_s
    second.now = first.now
    while second.now < due_s - 0.05:
        second.now += 0.05
        second.ask(1, 17)
    second.now = due_s
    assert second.ask(1, 17, affinity_key=key)[1] is None


def test_caller_that_comes_early_or_often_keeps_its_one_place() -> None:
    desk = build_desk(0, 1)
    desk.press(17, 3.0, 1)
    key, refusal = desk.find_promise(1, 17)
    due_s = desk.now + refusal.retry_after_s
    while desk.now < due_s - 0.1:
        again = desk.ask(1, 17, affinity_key=key)[1]
        if again is not None:
            assert desk.now + again.retry_after_s == pytest.approx(due_s)
        desk.now += 0.05
    desk.now = due_s
    call, refusal = desk.ask(1, 17, affinity_key=key)
    assert refusal is None


def test_refusal_without_room_promises_none_in_the_callers_time() -> None:
    desk = build_desk(0, 1)
    desk.press(17, 3.0, 1)
    refusals = [
        desk.ask(1, 17, gives_up_s=desk.now + 0.1)[1] for _ in range(100)
    ]
    refused = [refusal for refusal in refusals if refusal is not None]
    assert refused
    for refusal in refused:
        assert refusal.is_promised == (refusal.retry_after_s <= 0.1 / 3.0)


def test_stopped_heartbeats_leave_only_deadlines() -> None:
    desk = build_desk(0, 1)
    desk.press(17, 4.0, 1)
    desk.now += urgency.MAX_REPORT_AGE_S + 0.5
    choice = calls.Choice(desk.state, 0.5, 0.3, True, 0, 17.0, 0.2)
    call, _ = build_desk(0, 1, now=desk.now).ask(1)
    assert desk.policy.review(call, choice, desk.now) is None


@pytest.mark.parametrize(
    ("priorities", "hosts"), [((0, 1), 20), ((1, 1), queueing.HOSTS)]
)
def test_few_hosts_or_equal_priorities_admit_as_before(
    priorities, hosts
) -> None:
    desk = build_desk(*priorities, hosts=hosts)
    assert not activation.is_active(
        desk.configuration, queueing.build_membership(hosts)
    )
    admitted = desk.press(17, 5.0, 0, 1)
    assert admitted == [100, 100]


def test_second_attempts_are_not_refused_for_others() -> None:
    desk = build_desk(0, 1)
    desk.press(17, 4.0, 1)
    for _ in range(50):
        assert desk.ask(1, 17, tried={"other"})[1] is None
