"""Splits the requests of a route over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model


class Splitter:
    """Keeps each part's count as close to its weight as whole numbers allow.

    A random choice strays by chance; carrying the difference over does not.
    """

    __slots__ = ("_owed", "_traffic_split")

    def __init__(
        self, traffic_split: tuple[model.WeightedService, ...]
    ) -> None:
        self._traffic_split = traffic_split
        self._owed = [0.0] * len(traffic_split)

    @property
    def traffic_split(self) -> tuple[model.WeightedService, ...]:
        """The parts that requests are split over."""
        return self._traffic_split

    def choose_service(self) -> str:
        """Return the service of the next request."""
        total = sum(part.weight for part in self._traffic_split)
        if len(self._traffic_split) == 1 or total <= 0.0:
            return self._traffic_split[0].service
        for index, part in enumerate(self._traffic_split):
            self._owed[index] += part.weight / total
        chosen = max(
            range(len(self._traffic_split)), key=self._owed.__getitem__
        )
        self._owed[chosen] -= 1.0
        return self._traffic_split[chosen].service
