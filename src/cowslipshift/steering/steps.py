"""The steps of choosing a backend server, in the order they are taken.

The balancer joins one of each kind. None of them sends or receives anything;
each takes the present time.
"""

from __future__ import annotations

from typing import Protocol
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import backends
    from cowslipshift.steering import calls


class EligibilityRule(Protocol):
    """Tells which backend servers may run a request."""

    def is_usable(
        self, state: backends.BackendState, call: calls.Call, now: float
    ) -> bool:
        """Tell whether a server may run a request."""


class CompletionEstimator(Protocol):
    """Predicts when a backend server would have answered a request."""

    def predict(
        self,
        call: calls.Call,
        state: backends.BackendState,
        position: int,
        now: float,
    ) -> calls.Choice:
        """Predict the answer of one server.

        Args:
            call: The request.
            state: The server.
            position: Position in the object's order of preference.
            now: Present time.
        """

    def update(
        self,
        call: calls.Call,
        choice: calls.Choice,
        took_s: float,
        now: float,
    ) -> None:
        """Learn from a successful answer that took ``took_s`` seconds."""


class ServerSelector(Protocol):
    """Takes one of the servers that were compared."""

    def select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Return the best choice; ``None`` if there is none."""


class AdmissionPolicy(Protocol):
    """Decides whether a request gets room at the server chosen for it."""

    def review(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> calls.Refusal | None:
        """Return ``None`` to admit the request, else its refusal."""
