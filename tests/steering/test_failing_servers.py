"""Servers that fail in ways that no health check shows.

`srv_grey`: a part of the requests fails while the health check is good.
`srv_lying_health`: servers say that they are well and fail all, or say that
they are ill and are well. `srv_flap`: servers go down and up by turns.
"""

from __future__ import annotations

import collections
import random

import pytest
from tests import builders

from cowslipshift.steering import calls

SERVERS = tuple(builders.build_backend(f"s{n}") for n in range(6))
WARM_S = 0.1
COLD_S = 0.3
SPACING_S = 0.02
OBJECTS = 30


class Traffic:
    """Requests of one host, one after the other, in simulated time."""

    def __init__(self, seed: int = 1) -> None:
        self.balancer = builders.build_balancer(backends=SERVERS)
        self.draw = random.Random(seed)
        self.now = 0.0
        self.failed = 0
        self.sent = collections.Counter()

    def run(self, length_s: float, fails) -> None:
        """Send requests.

        Args:
            length_s: How long.
            fails: Tells for a server and a time whether a request fails, or
                "down" if the server does not listen.
        """
        self.failed = 0
        self.sent.clear()
        until_s = self.now + length_s
        while self.now < until_s:
            key = f"o{self.draw.randrange(OBJECTS)}"
            call = builders.open_call(self.balancer, key, self.now)
            choice = self.balancer.choose_backend(call, self.now)
            assert isinstance(choice, calls.Choice)
            state = choice.state
            self.sent[state.entry.id] += 1
            outcome = fails(state.entry.id, self.now)
            if outcome:
                self.failed += 1
                state.record_failure(self.now, is_down=outcome == "down")
            else:
                is_warm = state.is_warm_for(key, self.now)
                took_s = WARM_S if is_warm else COLD_S
                state.record_answer(key, took_s, choice.baseline_s, self.now)
                self.balancer.update_latency(call, choice, took_s, self.now)
            self.now += SPACING_S

    @property
    def failed_share(self) -> float:
        return self.failed / self.sent.total()


@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_grey_server_loses_its_objects_to_others(share) -> None:
    traffic = Traffic()
    traffic.run(5.0, lambda server, now: False)
    usual = traffic.sent["s0"] / traffic.sent.total()
    assert usual > 0.1
    draw = random.Random(3)

    def fails(server, now):
        return server == "s0" and draw.random() < share

    traffic.run(5.0, fails)
    traffic.run(20.0, fails)
    assert traffic.failed_share < usual * share / 10
    assert traffic.sent["s0"] > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_server_that_is_well_again_gets_its_objects_back(seed) -> None:
    traffic = Traffic(seed)
    traffic.run(5.0, lambda server, now: False)
    usual = traffic.sent["s0"]
    draw = random.Random(3)
    traffic.run(10.0, lambda s, now: s == "s0" and draw.random() < 0.5)
    traffic.run(20.0, lambda server, now: False)
    traffic.run(5.0, lambda server, now: False)
    assert traffic.sent["s0"] > usual * 0.7


def test_one_failure_in_many_moves_nothing() -> None:
    traffic = Traffic()
    draw = random.Random(3)
    traffic.run(20.0, lambda server, now: False)
    usual = traffic.sent.copy()
    traffic.run(20.0, lambda server, now: draw.random() < 0.01)
    for server, count in usual.items():
        assert traffic.sent[server] == pytest.approx(count, rel=0.3)


# The balancer asks no health check, so only requests can tell.
def test_server_that_says_it_is_well_and_fails_all_is_left() -> None:
    traffic = Traffic()
    traffic.run(5.0, lambda server, now: False)
    traffic.run(10.0, lambda server, now: server == "s0")
    assert traffic.failed_share < 0.03


def test_flapping_server_costs_a_connection_now_and_then() -> None:
    traffic = Traffic()
    traffic.run(5.0, lambda server, now: False)
    usual = traffic.sent["s0"] / traffic.sent.total()

    def fails(server, now):
        return "down" if server == "s0" and int(now / 1.5) % 2 else ""

    traffic.run(30.0, fails)
    assert traffic.failed_share < 0.2 * usual / 2
    assert traffic.sent["s0"] > 0
