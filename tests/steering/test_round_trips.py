"""Round trips to data centres that no constant knows."""

from __future__ import annotations

from tests import builders

from cowslipshift.steering import roundtrips

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}


def build() -> roundtrips.RoundTrips:
    return roundtrips.RoundTrips("a", REGIONS)


def test_unmeasured_data_centres_get_what_is_usual() -> None:
    trips = build()
    assert trips.estimate("a2") == roundtrips.INITIAL_LOCAL_S
    assert trips.estimate("b1") == roundtrips.INITIAL_REMOTE_S
    assert trips.estimate("unknown") == roundtrips.INITIAL_REMOTE_S


def test_measured_round_trip_counts_for_the_region_too() -> None:
    trips = build()
    for _ in range(20):
        trips.record("b1", 0.12)
    assert abs(trips.estimate("b1") - 0.12) < 0.001
    assert abs(trips.estimate("b2") - 0.12) < 0.001
    assert trips.estimate("c1") == roundtrips.INITIAL_REMOTE_S


def test_lost_opening_packet_is_no_round_trip() -> None:
    trips = build()
    trips.record("b1", roundtrips.MAX_SAMPLE_S + 0.1)
    trips.record("b1", -1.0)
    assert trips.estimate("b1") == roundtrips.INITIAL_REMOTE_S


def test_measured_round_trip_is_part_of_the_prediction() -> None:
    balancer = builders.build_balancer(
        backends=(builders.build_backend("s1", address="10.0.0.7:80"),)
    )
    call = builders.open_call(balancer)
    before = balancer.choose_backend(call, 0.0)
    balancer.record_connect("10.0.0.7:80", 0.3)
    balancer.record_connect("10.0.0.8:80", 0.01)
    after = balancer.choose_backend(call, 0.0)
    added_s = after.expected_s - before.expected_s
    assert abs(added_s - (0.3 - roundtrips.INITIAL_LOCAL_S)) < 1e-9
