"""When a backend server would have answered a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import calls
from cowslipshift.steering import latencies

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import backends
    from cowslipshift.steering import model
    from cowslipshift.steering import roundtrips


class LatencyEstimator:
    """Predicts from the latencies of the route and the load of the server.

    Args:
        round_trips: Round trips to the data centres.
    """

    __slots__ = ("_latencies", "_round_trips")

    def __init__(self, round_trips: roundtrips.RoundTrips) -> None:
        self._round_trips = round_trips
        self._latencies: dict[tuple[str, str], latencies.RouteLatency] = {}

    def set_routes(self, routes: Iterable[model.Route]) -> None:
        """Add the routes of a configuration; known ones are kept."""
        for route in routes:
            if route.key not in self._latencies:
                self._latencies[route.key] = latencies.RouteLatency(route)

    def predict(
        self,
        call: calls.Call,
        state: backends.BackendState,
        position: int,
        now: float,
    ) -> calls.Choice:
        """Predict the answer of one server."""
        latency = self._latencies[call.route.key]
        is_known_warm = not call.affinity_key or state.is_warm_for(
            call.affinity_key, now
        )
        is_warm = is_known_warm or position == 0
        typical_s = latency.estimate(is_warm)
        rtt_s = self._round_trips.estimate(state.entry.data_centre)
        queue_s = state.estimate_wait(now, latency.warm_s)
        service_time_s = typical_s * state.estimate_slowness(now)
        expected_s = rtt_s + queue_s + service_time_s
        return calls.Choice(
            state,
            expected_s,
            rtt_s + queue_s + latency.estimate(is_known_warm),
            is_known_warm,
            position,
            state.estimate_load(now),
            queue_s,
        )

    def update(
        self,
        call: calls.Call,
        choice: calls.Choice,
        took_s: float,
        now: float,
    ) -> None:
        """Learn from an answer of a server that had a free slot."""
        if choice.load < choice.state.entry.slots:
            self._latencies[call.route.key].update(
                took_s, choice.is_known_warm
            )
