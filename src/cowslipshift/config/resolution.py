"""Which default or exception is in force for a scope at a moment.

Of the exceptions that match, the one whose scope names the most fields
wins; of equals the one that started last, then the larger id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

MS_PER_S = 1000

_FIELDS = ("service", "region", "account", "server", "version")


class Settings:
    """The defaults and exceptions of a configuration."""

    def __init__(self, configuration: model.Configuration) -> None:
        self._defaults = configuration.defaults
        self._by_setting: dict[str, list[model.Exemption]] = {}
        for exemption in configuration.exceptions:
            known = self._by_setting.setdefault(exemption.setting, [])
            known.append(exemption)

    def resolve(self, setting: str, wall_s: float, **scope: str) -> float:
        """Return the value in force.

        Args:
            setting: A field of the defaults.
            wall_s: Unix time in seconds.
            **scope: What is known of the matter at hand.
        """
        exemption = self.find_exemption(setting, wall_s, **scope)
        if exemption is not None:
            return exemption.value
        return float(getattr(self._defaults, setting))

    def find_exemption(
        self, setting: str, wall_s: float, **scope: str
    ) -> model.Exemption | None:
        """Return the exception in force, if any."""
        matching = [
            exemption
            for exemption in self._by_setting.get(setting, ())
            if is_in_force(exemption, wall_s)
            and matches_scope(exemption, scope)
        ]
        return max(matching, key=rank_exemption, default=None)


def is_in_force(exemption: model.Exemption, wall_s: float) -> bool:
    """Tell whether an exception has started and not ended."""
    now_ms = wall_s * MS_PER_S
    if now_ms < exemption.since_ms:
        return False
    return exemption.until_ms is None or now_ms < exemption.until_ms


def matches_scope(exemption: model.Exemption, scope: dict[str, str]) -> bool:
    """Tell whether an exception applies to a scope."""
    return all(
        getattr(exemption.scope, field) in (None, scope.get(field))
        for field in _FIELDS
    )


def rank_exemption(exemption: model.Exemption) -> tuple[int, int, str]:
    """Return the order in which conflicting exceptions win."""
    named = sum(
        getattr(exemption.scope, field) is not None for field in _FIELDS
    )
    return named, exemption.since_ms, exemption.id
