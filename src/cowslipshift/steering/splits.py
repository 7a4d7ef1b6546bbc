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

    __slots__ = ("_credits", "_weighted_services")

    def __init__(
        self, weighted_services: tuple[model.WeightedService, ...]
    ) -> None:
        self._weighted_services = weighted_services
        self._credits = [0.0] * len(weighted_services)

    @property
    def weighted_services(self) -> tuple[model.WeightedService, ...]:
        """The services that requests are split over, with their weights."""
        return self._weighted_services

    def choose_service(self) -> str:
        """Return the service of the next request."""
        total = sum(entry.weight for entry in self._weighted_services)
        if len(self._weighted_services) == 1 or total <= 0.0:
            return self._weighted_services[0].service
        for index, entry in enumerate(self._weighted_services):
            self._credits[index] += entry.weight / total
        chosen = max(
            range(len(self._weighted_services)), key=self._credits.__getitem__
        )
        self._credits[chosen] -= 1.0
        return self._weighted_services[chosen].service
