"""A request that is sent twice with one idempotency key runs once."""

from __future__ import annotations

from cowslipshift.coordination import outcomes
from cowslipshift.serving.entry import idempotency

NOW_S = 1_800_000_000.0


def main() -> None:
    """Start a request, record its answer, and start it again."""
    table = outcomes.OutcomeTable(known_since_s=NOW_S - 60)
    key = outcomes.parse_key(idempotency.make_key(wall_s=NOW_S))
    assert key is not None
    print("first:", table.start("workshop", key, 1, NOW_S).value)
    answer = outcomes.RecordedAnswer(200, [], b"approved")
    table.finish("workshop", key.text, answer, NOW_S + 1)
    print("again:", table.start("workshop", key, 1, NOW_S + 2).value)


if __name__ == "__main__":
    main()
