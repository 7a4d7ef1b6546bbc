"""When a server would have answered, by the work that it still has to do."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import calls
from cowslipshift.workload import loads

if TYPE_CHECKING:
    from cowslipshift.steering import backends
    from cowslipshift.steering import roundtrips
    from cowslipshift.workload import costs

MEAN_WORK_EWMA_WEIGHT = 0.02
MIN_WORK_S = 0.001
MAX_WORK_RATIO = 20.0
"""Ratio to the mean work beyond which a piece of work counts no more."""


class WorkEstimator:
    """Predicts from a request's cost, the server's work in hand and its pace.

    Args:
        round_trips: Round trips to the data centres.
        cost_model: Predicts what requests cost.
    """

    __slots__ = ("_costs", "_mean_work_s", "_round_trips")

    def __init__(
        self,
        round_trips: roundtrips.RoundTrips,
        cost_model: costs.CostModel,
    ) -> None:
        self._round_trips = round_trips
        self._costs = cost_model
        self._mean_work_s: dict[str, float] = {}

    def predict(
        self,
        call: calls.Call,
        state: backends.BackendState,
        position: int,
        now: float,
    ) -> calls.Choice:
        """Predict the answer of one server."""
        is_known_warm = not call.affinity_key or state.is_warm_for(
            call.affinity_key, now
        )
        cost = self._costs.predict(call, is_known_warm, position)
        others = state.others.estimate(now)
        load = state.in_flight + others
        pace = state.pace.estimate(now)
        mean_work_s = self._mean_work_s.get(call.service, cost.mean_s)
        ahead_s = state.work.measure_left(now) + mean_work_s * others
        slots = state.entry.slots
        # A slot is free after those that wait, and one that runs.
        leaving = loads.expect_excess(
            load + 1.0 - slots, state.others.estimate_variance(now)
        )
        wait_s = pace * ahead_s / max(load, 1.0) * leaving / slots
        # A wait that is only possible is no queue: admission refuses for one.
        queue_s = wait_s if load + 1.0 > slots else 0.0
        rtt_s = self._round_trips.estimate(state.entry.data_centre)
        return calls.Choice(
            state,
            rtt_s + wait_s + pace * cost.mean_s,
            rtt_s + wait_s + cost.mean_s,
            is_known_warm,
            position,
            load,
            queue_s,
            work_s=cost.mean_s,
            high_s=rtt_s + wait_s + pace * cost.high_s,
            pace=pace,
            ahead_s=ahead_s,
        )

    def measure_work(
        self, choice: calls.Choice, took_s: float, now: float
    ) -> float | None:
        """Return the seconds of work behind an answer at the usual pace.

        Args:
            choice: Its server.
            took_s: Time until the answer.
            now: Present time, after the load stated with it was recorded.

        Returns:
            ``None`` if the server had a queue: the time taken then says more
            of others' work than of this.
        """
        state = choice.state
        slots = state.entry.slots
        if choice.load >= slots or state.estimate_load(now) >= slots:
            return None
        rtt_s = self._round_trips.estimate(state.entry.data_centre)
        served_s = max(MIN_WORK_S, took_s - rtt_s)
        return served_s / state.pace.estimate_stated(now)

    def update(
        self,
        call: calls.Call,
        choice: calls.Choice,
        took_s: float,
        now: float,
    ) -> None:
        """Learn from an answer of a server that had a free slot."""
        work_s = self.measure_work(choice, took_s, now)
        if work_s is None:
            return
        pace = choice.state.pace
        cost = self._costs.predict(call, choice.is_known_warm, choice.position)
        # A cost is learnt without the slowness that earlier answers showed.
        slowness = pace.estimate(now) / pace.estimate_stated(now)
        pace.record_excess(work_s / cost.typical_s, now)
        self._costs.update(
            call, choice.is_known_warm, choice.position, work_s / slowness
        )
        known_s = self._mean_work_s.get(call.service, work_s)
        self._mean_work_s[call.service] = known_s + MEAN_WORK_EWMA_WEIGHT * (
            min(work_s, MAX_WORK_RATIO * known_s) - known_s
        )
