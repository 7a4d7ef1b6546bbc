"""Tells whether a deployment admits requests by their urgency."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model


def is_active(
    configuration: model.Configuration | None,
    membership: memberships.Membership,
) -> bool:
    """Tell whether urgency decides who gets room.

    It does where priorities differ in the configuration in force, and where
    hosts tell each other of load.
    """
    if configuration is None or not membership.uses_relays:
        return False
    return _has_several(
        route.priority for route in configuration.routes
    ) or _has_several(
        account.priority for account in configuration.accounts.values()
    )


def _has_several(priorities: Iterable[int]) -> bool:
    return len(set(priorities)) > 1
