"""Where servers are chosen by work, and where as before.

By work where heartbeats are relayed, as each host then hears little of a
server itself, and at servers that state their pace.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import backends
    from cowslipshift.steering import calls
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import steps


class WorkGate:
    """Tells whether a deployment calls for choices by work.

    Args:
        membership: The hosts.
    """

    __slots__ = ("_has_pace", "_membership")

    def __init__(self, membership: memberships.Membership) -> None:
        self._membership = membership
        self._has_pace = False

    @property
    def is_open(self) -> bool:
        """Whether servers are chosen by work."""
        return self._has_pace or self._membership.uses_relays

    def record_server(self, state: backends.BackendState) -> None:
        """Record a server that answered."""
        self._has_pace = self._has_pace or state.pace.is_stated


class GatedEstimator:
    """Predicts by work or by the baseline; both learn.

    Args:
        gate: Tells which one applies.
        by_work: Estimator by work.
        baseline: Estimator of other deployments.
    """

    __slots__ = ("_baseline", "_by_work", "_gate")

    def __init__(
        self,
        gate: WorkGate,
        by_work: steps.CompletionEstimator,
        baseline: steps.CompletionEstimator,
    ) -> None:
        self._gate = gate
        self._by_work = by_work
        self._baseline = baseline

    def predict(
        self,
        call: calls.Call,
        state: backends.BackendState,
        position: int,
        now: float,
    ) -> calls.Choice:
        """Predict the answer of one server."""
        estimator = self._by_work if self._gate.is_open else self._baseline
        return estimator.predict(call, state, position, now)

    def update(
        self,
        call: calls.Call,
        choice: calls.Choice,
        took_s: float,
        now: float,
    ) -> None:
        """Learn from a successful answer."""
        self._gate.record_server(choice.state)
        self._baseline.update(call, choice, took_s, now)
        if self._gate.is_open:
            self._by_work.update(call, choice, took_s, now)


class GatedSelector:
    """Selects by work or by the baseline.

    Args:
        gate: Tells which one applies.
        by_work: Selector by work.
        baseline: Selector of other deployments.
    """

    __slots__ = ("_baseline", "_by_work", "_gate")

    def __init__(
        self,
        gate: WorkGate,
        by_work: steps.ServerSelector,
        baseline: steps.ServerSelector,
    ) -> None:
        self._gate = gate
        self._by_work = by_work
        self._baseline = baseline

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return the best choice; ``None`` if there is none."""
        selector = self._by_work if self._gate.is_open else self._baseline
        return selector.select(call, choices, now)
