"""Splits the requests of a route over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model


class Splitter:
    """Weighted round robin over the services of a route.

    Each service's request count stays as close to its weight as whole
    numbers allow. A random choice would deviate by chance.
    """

    __slots__ = ("_credits", "_in_use", "_weighted_services")

    def __init__(
        self, weighted_services: tuple[model.WeightedService, ...]
    ) -> None:
        self._weighted_services = weighted_services
        self._in_use = select_used_services(weighted_services)
        self._credits = [0.0] * len(self._in_use)

    @property
    def weighted_services(self) -> tuple[model.WeightedService, ...]:
        """The services that requests are split over, with their weights."""
        return self._weighted_services

    def choose_service(self) -> str:
        """Return the service of the next request."""
        if len(self._in_use) == 1:
            return self._in_use[0].service
        total = sum(entry.weight for entry in self._in_use)
        for index, entry in enumerate(self._in_use):
            self._credits[index] += entry.weight / total
        chosen = max(range(len(self._in_use)), key=self._credits.__getitem__)
        self._credits[chosen] -= 1.0
        return self._in_use[chosen].service


def select_used_services(
    weighted_services: tuple[model.WeightedService, ...],
) -> tuple[model.WeightedService, ...]:
    """Return the services that get requests.

    Without any weight above 0 all requests go to the first service.
    """
    used = tuple(entry for entry in weighted_services if entry.weight > 0.0)
    return used or weighted_services[:1]
