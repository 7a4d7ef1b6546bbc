"""Promises of room to callers that were refused."""

from __future__ import annotations

import collections

import msgspec

RETURN_FRACTION = 0.25
"""Fraction of the slots that come free which is promised at most."""

BURST_S = 2.0
"""Time over which unused promises add up."""

MAX_PLACES = 2000
"""Callers whose place is remembered; the earliest given go first."""

PLACE_VALID_S = 1.0
"""How long after its time a place is kept for a caller."""


class _Purse(msgspec.Struct):
    """Promises that a host may still give for a service."""

    promises: float
    updated_s: float


class ReturnPlaces:
    """Places promised by one host, bounded by its part of the room.

    A caller has one place. If it comes earlier, or often, it is told the same
    time and takes no other place.
    """

    __slots__ = ("_places", "_purses")

    def __init__(self) -> None:
        self._purses: dict[str, _Purse] = {}
        self._places: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def find(self, caller: str, now: float) -> float | None:
        """Return the time of a caller's place if it has one."""
        due_s = self._places.get(caller)
        if due_s is None or now > due_s + PLACE_VALID_S:
            return None
        return due_s

    def take(self, caller: str, now: float) -> bool:
        """Take a caller's place if its time has come."""
        due_s = self.find(caller, now)
        if due_s is None or now < due_s:
            return False
        del self._places[caller]
        return True

    def try_promise(
        self,
        service: str,
        caller: str,
        due_s: float,
        rate: float,
        reserved: float,
        now: float,
    ) -> bool:
        """Promise a caller room at a time, if any is left to promise.

        Args:
            service: The service.
            caller: The caller.
            due_s: Time at which it is to return.
            rate: Slots of the service that come free in a second, this host's
                part.
            reserved: Fraction of the promises kept for more urgent callers.
            now: Present time.
        """
        refill = RETURN_FRACTION * rate
        most = max(1.0, refill * BURST_S)
        purse = self._purses.get(service)
        if purse is None:
            purse = self._purses[service] = _Purse(0.0, now - BURST_S)
        gained = refill * max(0.0, now - purse.updated_s)
        purse.promises = min(most, purse.promises + gained)
        purse.updated_s = now
        if purse.promises - 1.0 < reserved * (most - 1.0):
            return False
        purse.promises -= 1.0
        self._places[caller] = due_s
        self._places.move_to_end(caller)
        if len(self._places) > MAX_PLACES:
            self._places.popitem(last=False)
        return True

    def retain_services(self, services: set[str]) -> None:
        """Forget services that no route leads to any more."""
        for service in self._purses.keys() - services:
            del self._purses[service]
