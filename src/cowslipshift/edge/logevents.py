"""Builds the log events of changes that a host has applied."""

from __future__ import annotations

from cowslipshift.steering import changes


def describe_change(
    change: changes.Change,
) -> tuple[str, dict[str, object]]:
    """Return the name and the fields of the log event of a change."""
    if isinstance(change, changes.ConfigurationChange):
        configuration = change.configuration
        if configuration is None:
            return "plan_changed", {"gone": True}
        return "plan_changed", {
            "version": configuration.version,
            "routes": len(configuration.routes),
            "accounts": len(configuration.accounts),
        }
    if isinstance(change, changes.BackendChange):
        return "backend_changed", _describe_backend(change)
    if isinstance(change, changes.EvacuationChange):
        return "evacuation_changed", {
            "data_centre": change.data_centre,
            "active": change.is_active,
        }
    if isinstance(change, changes.MemberChange):
        return "member_changed", {
            "member": change.name,
            "gone": change.member is None,
        }
    if isinstance(change, changes.OrderChange):
        fields: dict[str, object] = {"service": change.service}
        if change.order is not None:
            fields["target"] = change.order.version
            fields["ramp_s"] = change.order.ramp_s
        return "rollout_ordered", fields
    fields = {"service": change.service}
    if change.stage is not None:
        fields["state"] = change.stage.state
        fields["step"] = change.stage.step
        fields["reason"] = change.stage.reason
    return "rollout_stage", fields


def _describe_backend(change: changes.BackendChange) -> dict[str, object]:
    entry = change.backend
    if entry is None:
        return {"backend": change.id, "gone": True}
    return {
        "backend": change.id,
        "service": entry.service,
        "version": entry.version,
        "data_centre": entry.data_centre,
        "draining": entry.is_draining,
        "cold_s": entry.cold_s,
    }
