"""Answers that go on without end, from each peer, 40 at a time."""

from __future__ import annotations

import asyncio

from bench import answers
import pytest

CALLS = 40
MAX_ADDED_MB = 100.0
"""Half of the memory of the smallest hosts."""

MAX_STALL_CPU_S = 0.5
"""The time past its limit for which a request may stay unanswered."""

WAYS = (
    "header lines",
    "early hints",
    "body with a length",
    "slow body",
    "tiny chunks",
    "chunk size",
    "trailers",
    "refusal",
)
PEERS = tuple(answers.PEERS)


# Guards against LOST: a peer that sends without end puts a host over its
# memory, holds its event loop, or outlasts the time limit of its requests.
@pytest.mark.parametrize("peer", PEERS)
async def test_answers_without_end_take_bounded_memory_and_time(peer) -> None:
    rows = await asyncio.gather(
        *(answers.play(peer, way, CALLS) for way in WAYS)
    )
    for way, row in zip(WAYS, rows, strict=True):
        assert row["unfinished"] == 0, (way, row)
        assert row["added_mb"] < MAX_ADDED_MB, (way, row)
        assert row["stall_cpu_s"] < MAX_STALL_CPU_S, (way, row)
        assert "unexpected" not in " ".join(row["results"]), (way, row)


# Guards against a store whose watch sends blank lines without end, which are
# taken apart while nothing else runs.
async def test_blank_lines_of_watches_do_not_hold_the_event_loop() -> None:
    row = await answers.play("store watch", "blank body", CALLS)
    assert row["added_mb"] < MAX_ADDED_MB, row
    assert row["stall_cpu_s"] < MAX_STALL_CPU_S, row
