"""Roll-outs while servers die (`replace_with_reuse`, `srv_crash`)."""

from __future__ import annotations

import pytest
from tests import builders

from cowslipshift.steering import changes
from cowslipshift.steering import lostanswers
from cowslipshift.steering import model
from cowslipshift.steering import rollouts

SERVERS = tuple(
    builders.build_backend(f"v{n % 2 + 1}-{n}", version=f"v{n % 2 + 1}")
    for n in range(8)
)
ROUTE_TIMEOUT_S = 1.2


class Service:
    """A service in a roll-out, as one host sees it."""

    def __init__(self) -> None:
        self.balancer = builders.build_balancer(backends=SERVERS)
        order = model.RolloutOrder("sheets", "v2", 15.0, 7)
        self.balancer.apply(changes.OrderChange("sheets", order), 0.0)
        self.rollout = self.balancer.rollouts["sheets"]
        self.rollout.set_stage(
            rollouts.Stage(
                order=7,
                version="v2",
                step=0,
                state=rollouts.WATCHING,
                started_ms=0,
            ),
            1,
            0.0,
        )

    def answer(self, version: str, number: int, now: float) -> None:
        """Let a server of a version answer well."""
        call, choice = self._choose(version, number, now)
        self.balancer.record_outcome(call, choice, False, now)

    def lose(self, version: str, number: int, sent_s: float) -> str:
        """Let a server keep its answer until the route's time is up."""
        call, choice = self._choose(version, number, sent_s)
        self.balancer.record_lost_answer(
            call, choice, sent_s, sent_s + ROUTE_TIMEOUT_S
        )
        return choice.state.entry.id

    def find_gone(self, version: str, number: int, now: float) -> None:
        """Let a server be found gone."""
        call, choice = self._choose(version, number, now)
        self.balancer.record_gone_server(call, choice, now)

    def count(self, now: float) -> rollouts.Counts:
        """Return the counts after a tick."""
        self.balancer.count_lost_answers(now)
        return self.rollout.sum_counts()

    def _choose(self, version: str, number: int, now: float):
        call = builders.open_call(
            self.balancer,
            f"object-{number}",
            now,
            uses_new_version=version == "v2",
        )
        return call, self.balancer.choose_backend(call, now)


@pytest.fixture
def service() -> Service:
    service = Service()
    for number in range(30):
        service.answer("v2", number, 1.0)
        service.answer("v1", number, 1.0)
    return service


# Guards against incident 2026-12-04-good-version-rolled-back: servers of a
# good version lost power during its roll-out.
def test_servers_that_died_condemn_no_version(service) -> None:
    for number in range(10):
        service.lose("v2", number, 5.0)
    for number in range(10):
        service.find_gone("v2", number, 5.4)
    counts = service.count(5.0 + ROUTE_TIMEOUT_S + lostanswers.PENDING_S)
    assert counts == rollouts.Counts(30, 0, 30, 0)
    assert not service.rollout.rejects_new_version


def test_server_that_died_before_it_was_found_gone_counts_as_gone(
    service,
) -> None:
    service.lose("v2", 1, 5.0)
    service.find_gone("v2", 1, 5.0 + ROUTE_TIMEOUT_S + 1.0)
    assert service.count(20.0).new_bad == 0


def test_lost_answers_of_servers_that_go_on_count(service) -> None:
    for number in range(10):
        service.lose("v2", number, 5.0)
        service.answer("v2", number, 5.0 + ROUTE_TIMEOUT_S + 0.1)
    assert service.count(5.0 + ROUTE_TIMEOUT_S + 0.2).new_bad == 10
    assert service.rollout.rejects_new_version


# A version that does not answer at all gives no other sign.
def test_lost_answers_count_after_a_while_without_a_sign(service) -> None:
    for number in range(10):
        service.lose("v2", number, 5.0)
    lost_s = 5.0 + ROUTE_TIMEOUT_S
    assert service.count(lost_s + lostanswers.PENDING_S - 0.1).new_bad == 0
    assert service.count(lost_s + lostanswers.PENDING_S).new_bad == 10


def test_server_that_is_back_is_no_longer_gone(service) -> None:
    service.find_gone("v2", 1, 2.0)
    service.lose("v2", 1, 5.0)
    assert service.count(20.0).new_bad == 1


def test_new_order_forgets_lost_answers(service) -> None:
    service.lose("v2", 1, 5.0)
    order = model.RolloutOrder("sheets", "v2", 15.0, 9)
    service.balancer.apply(changes.OrderChange("sheets", order), 6.0)
    assert service.count(20.0) == rollouts.Counts()


def test_memory_of_servers_is_bounded() -> None:
    lost_answers = lostanswers.LostAnswers()
    for number in range(lostanswers.MAX_SERVERS + 1):
        lost_answers.record_gone(f"s{number}", 6.0)
    for server in ("s0", "s1"):
        lost_answers.add(lostanswers.LostAnswer(server, "v2", 5.0, 5.5))
    assert [lost.server for lost in lost_answers.take_proven(9.0)] == ["s0"]
