"""A request in flight and the backend server chosen for an attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from cowslipshift.steering import backends
    from cowslipshift.steering import model


class Choice(msgspec.Struct):
    """A backend server for one attempt.

    Attributes:
        expected_s: Predicted time until its answer.
        baseline_s: Time expected of a server that is not slow, as far as
            this host knows whether the server is warm for the object.
        is_known_warm: Whether this host has seen that the server is warm
            for the object.
        position: Position in the order of preference; 0 is the first.
        load: Its estimated load.
        queue_s: Part of the prediction that is queueing time.
        work_s: Predicted work at the server's usual pace; 0 if work is not
            predicted.
        high_s: Time until its answer that few such requests exceed; 0 if
            work is not predicted.
        pace: Factor by which work takes longer there at the moment.
        ahead_s: Seconds of work that the server still has to do.
    """

    state: backends.BackendState
    expected_s: float
    baseline_s: float
    is_known_warm: bool
    position: int
    load: float
    queue_s: float
    work_s: float = 0.0
    high_s: float = 0.0
    pace: float = 1.0
    ahead_s: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """Result if no server can take the request now.

    Attributes:
        reason: A short code.
        retry_after_s: Time after which there will be capacity, as far as
            is known.
        best: The best of the servers that were compared, if any.
        is_promised: Whether the caller has a place at that time.
    """

    reason: str
    retry_after_s: float
    best: Choice | None = None
    is_promised: bool = False


class Call(msgspec.Struct):
    """A request in flight.

    Attributes:
        id: The client's id of the request.
        affinity_key: The object that it concerns, or empty.
        deadline_s: Monotonic time by which it must be answered.
        regions: Regions that may serve it; ``None`` for all.
        uses_new_version: Whether the new version of a roll-out is to run it.
        tried: Backend servers to which an attempt was made.
        gives_up_s: Monotonic time until which the caller waits, with its
            repeats; the route may allow less for one request.
        unix_offset_s: Unix time less monotonic time of this host.
        share: Share of the requests of its rank that its server admits.
        has_returned: Whether it took the place that an earlier refusal
            promised to its caller.
        method: Its method, or empty.
        body_bytes: Size of its body.
    """

    id: str
    route: model.Route
    account: model.Account | None
    affinity_key: str
    service: str
    arrived_s: float
    deadline_s: float
    regions: frozenset[str] | None
    uses_new_version: bool
    tried: set[str]
    gives_up_s: float = 0.0
    unix_offset_s: float = 0.0
    share: float = 1.0
    has_returned: bool = False
    method: str = ""
    body_bytes: int = 0

    @property
    def priority(self) -> int:
        """Priority of the request; an account's overrides the route's."""
        return (
            self.route.priority
            if self.account is None
            else self.account.priority
        )
