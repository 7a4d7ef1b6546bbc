"""A host takes over the resources of a host that leaves."""

from __future__ import annotations

from cowslipshift.coordination import members
from cowslipshift.coordination import ownership

RESOURCES = {f"server:{n}": 5.0 for n in range(6)}


def main() -> None:
    """Let one of two hosts leave and hand over the resources it owns."""
    view = members.MembershipView("a", incarnation=1, now=0.0)
    view.add_configured(["a", "b"], now=0.0)
    table = ownership.OwnershipTable(view, started_clean=True)
    table.set_resources(RESOURCES, now=0.0)
    view.record_heartbeat("b", incarnation=1, leaving=False, now=0.1)
    view.record_acknowledgement("b", sent_s=0.0, recognised_incarnation=1)
    print("a owns", table.list_owned(0.2))
    view.record_heartbeat("b", incarnation=1, leaving=True, now=0.3)
    handovers = [ownership.Handover(name, 0, 0.0) for name in RESOURCES]
    table.accept_handovers("b", handovers, now=0.3)
    usable = sum(table.count_usable(name, 2, 0.4) for name in RESOURCES)
    print("a may use", usable, "slots after b has left")


if __name__ == "__main__":
    main()
