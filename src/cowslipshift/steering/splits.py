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

    __slots__ = ("_credits", "_traffic_split")

    def __init__(
        self, traffic_split: tuple[model.WeightedService, ...]
    ) -> None:
        self._traffic_split = traffic_split
        self._credits = [0.0] * len(traffic_split)

    @property
    def traffic_split(self) -> tuple[model.WeightedService, ...]:
        """The services that requests are split over, with their weights."""
        return self._traffic_split

    def choose_service(self) -> str:
        """Return the service of the next request."""
        total = sum(entry.weight for entry in self._traffic_split)
        if len(self._traffic_split) == 1 or total <= 0.0:
            return self._traffic_split[0].service
        for index, entry in enumerate(self._traffic_split):
            self._credits[index] += entry.weight / total
        chosen = max(
            range(len(self._traffic_split)), key=self._credits.__getitem__
        )
        self._credits[chosen] -= 1.0
        return self._traffic_split[chosen].service
