"""Which backend servers may run a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from cowslipshift.steering import backends
    from cowslipshift.steering import calls
    from cowslipshift.steering import inventory as inventories
    from cowslipshift.steering import model
    from cowslipshift.steering import rollouts
    from cowslipshift.steering import serversignals


class Eligibility:
    """Applies what configuration, operators and servers themselves say.

    Args:
        inventory: The servers and the evacuated data centres.
        signals: What servers say in their answers.
        rollouts_by_service: Roll-outs under way or done.
        regions: Region by data centre.
    """

    __slots__ = ("_inventory", "_regions", "_rollouts", "_signals")

    def __init__(
        self,
        inventory: inventories.Inventory,
        signals: serversignals.ServerSignals,
        rollouts_by_service: Mapping[str, rollouts.Rollout],
        regions: Mapping[str, str],
    ) -> None:
        self._inventory = inventory
        self._signals = signals
        self._rollouts = rollouts_by_service
        self._regions = regions

    def is_usable(
        self, state: backends.BackendState, call: calls.Call, now: float
    ) -> bool:
        """Tell whether a server may run a request."""
        entry = state.entry
        if state.is_draining or entry.id in call.tried:
            return False
        if self._signals.is_leaving(entry.id, entry.started_ms):
            return False
        if self._signals.measure_wait(entry.id, entry.started_ms, now) > 0.0:
            return False
        if entry.data_centre in self._inventory.evacuated:
            return False
        region = self._regions.get(entry.data_centre)
        if call.regions is not None and region not in call.regions:
            return False
        if state.is_ejected(now):
            return False
        rollout = self._rollouts.get(call.service)
        return rollout is None or rollout.may_use(
            entry.version, call.uses_new_version
        )


def intersect_regions(
    route: model.Route, account: model.Account | None
) -> frozenset[str] | None:
    """Return the regions that may serve an account on a route.

    Returns:
        ``None`` for all regions.
    """
    limits = [frozenset(route.regions)] if route.regions else []
    if account is not None and account.regions:
        limits.append(frozenset(account.regions))
    if not limits:
        return None
    return frozenset.intersection(*limits)
