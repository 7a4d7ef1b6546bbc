"""Promises of room."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import pytest

from cowslipshift.admission import returns


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 0.5), strategies.floats(0.0, 0.9)
        ),
        max_size=300,
    ),
    strategies.floats(0.0, 60.0),
)
def test_promises_stay_within_their_part_of_the_room(
    requests: list[tuple[float, float]], rate: float
) -> None:
    """At most a quarter of the room and one, whoever asks how often."""
    places = returns.ReturnPlaces()
    now = 0.0
    given = 0
    for number, (passed_s, reserved) in enumerate(requests):
        now += passed_s
        given += places.try_promise(
            "sheets", f"c{number}", now + 1.0, rate, reserved, now
        )
        room = rate * (now + returns.BURST_S)
        assert given <= returns.RETURN_FRACTION * room + 1.0


def test_less_urgent_callers_leave_promises_to_more_urgent_ones() -> None:
    places = returns.ReturnPlaces()

    def ask(caller: str, reserved: float) -> bool:
        return places.try_promise("s", caller, 1.0, 40.0, reserved, 0.0)

    less_urgent = sum(ask(f"l{n}", 0.5) for n in range(50))
    urgent = sum(ask(f"u{n}", 0.0) for n in range(50))
    assert less_urgent == pytest.approx(10, abs=1)
    assert urgent == pytest.approx(10, abs=1)


def test_place_is_kept_for_one_return_from_its_time_on() -> None:
    places = returns.ReturnPlaces()
    assert places.try_promise("s", "c", 5.0, 40.0, 0.0, 4.0)
    assert not places.take("c", 4.5)
    assert places.find("c", 4.5) == 5.0
    assert places.take("c", 5.1)
    assert not places.take("c", 5.2)


def test_place_lapses_and_state_is_bounded() -> None:
    places = returns.ReturnPlaces()
    for number in range(returns.MAX_PLACES + 5):
        assert places.try_promise("s", f"c{number}", 5.0, 1e6, 0.0, 4.0)
    assert places.find("c0", 4.0) is None
    last = f"c{returns.MAX_PLACES + 4}"
    assert places.find(last, 4.0) == 5.0
    assert not places.take(last, 5.1 + returns.PLACE_VALID_S)
    places.retain_services(set())
    assert places.find(last, 4.0) == 5.0
