"""Admits the most urgent requests first where servers have too little room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.admission import activation
from cowslipshift.admission import ranks
from cowslipshift.admission import restraint
from cowslipshift.admission import returns
from cowslipshift.admission import turns
from cowslipshift.steering import calls
from cowslipshift.workload import room as rooms

if TYPE_CHECKING:
    from cowslipshift.steering import inventory as inventories
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model
    from cowslipshift.steering import steps

LEAST_URGENT_AIM = 0.4
AIM_RANGE = 0.2
"""Mean queueing time that a rank is to find at a service, as a fraction of the
slack: the least urgent one, and how much more the most urgent one. What it
finds beyond is refused to it, so the less urgent ones are refused first."""

FREE_BELOW = 0.5
"""Busy fraction of a server below which it refuses nobody. Many hosts see a
slot come free at the same time."""

EXCESS_START = 1.6
EXCESS_GAIN = 0.25
"""Queueing time of the chosen server, as a multiple of that, above which more
is refused there, and how much more by multiple."""

FLOOR = 0.35
MIN_SHARE = 0.05
"""Least share of each rank that is admitted as long as it can be in time: a
fraction of what all get at the service. Nobody is to fall below a quarter."""

MAX_REPORT_AGE_S = 2.0
"""Older load reports refuse nobody before its deadline does."""

CALLER_WAIT_FRACTION = 1.0 / 3.0
"""Fraction of its remaining time for which a caller waits as told."""

ROOM_MAX_AGE_S = 0.1


class UrgencyAdmission:
    """Admits by rank, then by whether an answer can meet its target.

    As the queue of a server grows, the admitted share falls from one to
    a floor: earlier for less urgent ranks, and for all before the answers
    become late. Who belongs to the share is told by `turns`; those refused
    get a place there, as far as there is room to promise.

    Args:
        baseline: Decides where urgency does not.
        membership: The hosts.
        inventory: The servers.
    """

    __slots__ = (
        "_baseline",
        "_inventory",
        "_is_active",
        "_membership",
        "_generation",
        "_places",
        "_ranks",
        "_restraint",
        "_rooms",
        "_configuration",
    )

    def __init__(
        self,
        baseline: steps.AdmissionPolicy,
        membership: memberships.Membership,
        inventory: inventories.Inventory,
    ) -> None:
        self._baseline = baseline
        self._membership = membership
        self._inventory = inventory
        self._configuration: model.Configuration | None = None
        self._is_active = False
        self._generation = -1
        self._ranks = ranks.ServiceRanks()
        self._restraint = restraint.Restraint()
        self._places = returns.ReturnPlaces()
        self._rooms: dict[str, tuple[float, rooms.Room]] = {}

    def set_configuration(self, configuration: model.Configuration) -> None:
        """Apply a configuration; forget what it no longer names."""
        self._configuration = configuration
        self._generation = -1
        services = self._ranks.set_routes(configuration.routes)
        self._restraint.retain_services(services)
        self._places.retain_services(services)
        for service in self._rooms.keys() - services:
            del self._rooms[service]

    def review(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> calls.Refusal | None:
        """Return ``None`` to admit the request, else its refusal."""
        refusal = self._baseline.review(call, choice, now)
        if call.tried or not self._check_active():
            return refusal
        standing = self._ranks.record(call, choice, now)
        call.share = self._find_share(call, choice, standing, now)
        caller = turns.name_caller(call)
        if refusal is None and self._is_turn(call, caller, now):
            self._ranks.record_admitted(call, now)
            return None
        return self._refuse(call, choice, standing, caller, refusal, now)

    def _check_active(self) -> bool:
        """Tell whether urgency decides, as of the last change."""
        if self._generation != self._membership.generation:
            self._generation = self._membership.generation
            self._is_active = activation.is_active(
                self._configuration, self._membership
            )
        return self._is_active

    def _is_turn(self, call: calls.Call, caller: str, now: float) -> bool:
        if call.share >= 1.0 or call.has_returned:
            return True
        if self._places.take(caller, now):
            call.has_returned = True
            return True
        turn = turns.measure_turn(caller, now + call.unix_offset_s)
        return turn >= 1.0 - call.share

    def _find_share(
        self,
        call: calls.Call,
        choice: calls.Choice,
        standing: ranks.Standing,
        now: float,
    ) -> float:
        """Return the admitted share of a request's rank at its server."""
        if choice.state.measure_report_age(now) > MAX_REPORT_AGE_S:
            return 1.0
        room = self._measure_room(call.service, now)
        unqueued_s = choice.expected_s - choice.queue_s
        mean_queue_s = room.excess / max(1, room.slots) * unqueued_s
        aim_s = standing.slack_s * (
            LEAST_URGENT_AIM + AIM_RANGE * standing.precedence
        )
        most = 1.0 - max(MIN_SHARE, FLOOR * standing.admitted_fraction)
        refused = self._restraint.update(
            call.service,
            standing.position,
            mean_queue_s / aim_s,
            most,
            now,
        )
        if choice.queue_s <= 0.0:
            busy = (choice.load + 1.0) / choice.state.entry.slots
            return 1.0 - refused * max(
                0.0, min(1.0, (busy - FREE_BELOW) / (1.0 - FREE_BELOW))
            )
        excess = choice.queue_s / aim_s - EXCESS_START
        refused += EXCESS_GAIN * max(0.0, excess)
        return 1.0 - min(most, refused)

    def _refuse(
        self,
        call: calls.Call,
        choice: calls.Choice,
        standing: ranks.Standing,
        caller: str,
        late: calls.Refusal | None,
        now: float,
    ) -> calls.Refusal:
        """Refuse a request, with a promise of room if there is one to give.

        Without one, the caller is told that none is expected in its time.
        """
        reason = "urgency" if late is None else late.reason
        gives_up_s = max(call.deadline_s, call.gives_up_s)
        due_s = self._places.find(caller, now)
        if due_s is not None:
            wait_s = max(turns.MIN_WAIT_S, due_s - now)
            return calls.Refusal(reason, wait_s, choice, True)
        turn = turns.measure_turn(caller, now + call.unix_offset_s)
        wait_s = turns.choose_return(turn, call.share, call.id)
        if late is not None:
            wait_s = max(wait_s, late.retry_after_s)
        left_s = gives_up_s - now
        if wait_s <= CALLER_WAIT_FRACTION * left_s:
            reserved = standing.position / standing.ranks
            rate = self._measure_rate(call, choice, now)
            if self._places.try_promise(
                call.service, caller, now + wait_s, rate, reserved, now
            ):
                return calls.Refusal(reason, wait_s, choice, True)
            if self._has_time(call, choice, wait_s, now):
                return calls.Refusal(reason, wait_s, choice)
        return calls.Refusal(reason, max(wait_s, left_s), choice)

    def _has_time(
        self,
        call: calls.Call,
        choice: calls.Choice,
        wait_s: float,
        now: float,
    ) -> bool:
        """Tell whether a return without a promise is of use to a caller.

        It is if the answer can still meet its target, or if its server alone
        is short of room.
        """
        if self._measure_room(call.service, now).utilisation < 1.0:
            return True
        unqueued_s = choice.expected_s - choice.queue_s
        answered_s = now + max(wait_s, choice.queue_s) + unqueued_s
        return answered_s <= call.arrived_s + call.route.target_s

    def _measure_rate(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> float:
        """Return this host's part of the slots that come free in a second.

        What waits beyond a round of turns has to be worked off first.
        """
        room = self._measure_room(call.service, now)
        service_time_s = max(0.01, choice.expected_s - choice.queue_s)
        rate = room.slots / service_time_s - room.excess / turns.ROUND_S
        return max(0.0, rate) / max(1, self._membership.count_hosts())

    def _measure_room(self, service: str, now: float) -> rooms.Room:
        """Return the room of a service's servers, as of a moment ago."""
        measured_s, room = self._rooms.get(service, (0.0, None))
        if room is None or now - measured_s > ROOM_MAX_AGE_S:
            room = rooms.measure_room(
                (
                    state
                    for state in self._inventory.list_servers(service)
                    if not state.is_draining
                ),
                now,
            )
            self._rooms[service] = now, room
        return room
