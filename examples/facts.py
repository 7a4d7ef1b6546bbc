"""Two hosts agree although facts reach them in different orders."""

from __future__ import annotations

from cowslipshift.coordination import facts


def main() -> None:
    """Merge the same facts in different orders and compare the digests."""
    old = facts.Fact("host_leaving", "medellin-1", 1, "live")
    new = facts.Fact("host_leaving", "medellin-1", 2, "leaving")
    first, second = facts.FactTable(), facts.FactTable()
    first.merge([old, new])
    second.merge([new])
    second.merge([old, new, old])
    assert first.digest == second.digest
    print(second.get_fact("host_leaving", "medellin-1"))


if __name__ == "__main__":
    main()
