"""Two hosts that each own some resources, until one of them leaves."""

from __future__ import annotations

from cowslipshift.coordination import homes
from cowslipshift.coordination import roster

RESOURCES = {f"server:{n}": 5.0 for n in range(6)}


def main() -> None:
    """Let one host leave and the other take its resources over."""
    view = roster.Roster("a", incarnation=1, now=0.0)
    view.set_configured(["a", "b"], now=0.0)
    table = homes.HomeTable(view, started_clean=True)
    table.set_resources(RESOURCES, now=0.0)
    view.note_heartbeat("b", incarnation=1, leaving=False, now=0.1)
    view.note_acknowledgement("b", sent_s=0.0, counts_me=1)
    print("a owns", table.list_mine(0.2))
    view.note_heartbeat("b", incarnation=1, leaving=True, now=0.3)
    words = [homes.Handover(name, 0, 0.0) for name in RESOURCES]
    table.accept_handovers("b", words, now=0.3)
    usable = sum(table.count_usable(name, 2, 0.4) for name in RESOURCES)
    print("a may use", usable, "slots after b has left")


if __name__ == "__main__":
    main()
