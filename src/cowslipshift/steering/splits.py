"""Splits the requests of a route over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.steering import model


class Splitter:
    """Keeps each part's count as close to its weight as whole numbers allow.

    A random choice strays by chance; carrying the difference over does not.
    """

    __slots__ = ("_owed", "_parts")

    def __init__(self, parts: tuple[model.Part, ...]) -> None:
        self._parts = parts
        self._owed = [0.0] * len(parts)

    @property
    def parts(self) -> tuple[model.Part, ...]:
        """The parts that requests are split over."""
        return self._parts

    def choose_service(self) -> str:
        """Return the service of the next request."""
        total = sum(part.weight for part in self._parts)
        if len(self._parts) == 1 or total <= 0.0:
            return self._parts[0].service
        for index, part in enumerate(self._parts):
            self._owed[index] += part.weight / total
        chosen = max(range(len(self._parts)), key=self._owed.__getitem__)
        self._owed[chosen] -= 1.0
        return self._parts[chosen].service
