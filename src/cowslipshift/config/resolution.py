"""Resolves settings: the default, or the exception in force for a scope.

Of the exceptions that match, the one whose scope sets the most fields wins;
ties go to the one that started last, then to the larger id.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

MS_PER_S = 1000

_SCOPE_FIELDS = ("service", "region", "account", "server", "version")


class SettingsResolver:
    """Resolves settings from a configuration's defaults and exceptions."""

    def __init__(self, configuration: model.Configuration) -> None:
        self._defaults = configuration.defaults
        self._by_setting: dict[str, list[model.Override]] = {}
        for override in configuration.exceptions:
            known = self._by_setting.setdefault(override.setting, [])
            known.append(override)

    def resolve(self, setting: str, wall_s: float, **scope: str) -> float:
        """Return the value in force.

        Args:
            setting: A field of `model.Defaults`.
            wall_s: Unix time in seconds.
            **scope: Known fields of `model.Scope`, such as ``service``.
        """
        override = self.find_override(setting, wall_s, **scope)
        if override is not None:
            return override.value
        return float(getattr(self._defaults, setting))

    def find_override(
        self, setting: str, wall_s: float, **scope: str
    ) -> model.Override | None:
        """Return the exception in force for a scope, if any."""
        matching = [
            override
            for override in self._by_setting.get(setting, ())
            if is_in_force(override, wall_s) and matches_scope(override, scope)
        ]
        return max(matching, key=rank_override, default=None)


def is_in_force(override: model.Override, wall_s: float) -> bool:
    """Tell whether an exception has started and not ended."""
    now_ms = wall_s * MS_PER_S
    if now_ms < override.since_ms:
        return False
    return override.until_ms is None or now_ms < override.until_ms


def matches_scope(override: model.Override, scope: dict[str, str]) -> bool:
    """Tell whether an exception applies to a scope."""
    return all(
        getattr(override.scope, field) in (None, scope.get(field))
        for field in _SCOPE_FIELDS
    )


def rank_override(override: model.Override) -> tuple[int, int, str]:
    """Return the precedence of an exception; the highest wins."""
    named = sum(
        getattr(override.scope, field) is not None for field in _SCOPE_FIELDS
    )
    return named, override.since_ms, override.id
