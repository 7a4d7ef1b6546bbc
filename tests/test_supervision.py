"""Background tasks that fail."""

from __future__ import annotations

import asyncio
import os

import pytest

from cowslipshift import supervision
from cowslipshift.telemetry import logs


# Guards against one unexpected error that takes a whole process down.
async def test_task_that_failed_once_runs_again(monkeypatch) -> None:
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.001)
    monkeypatch.setattr(os, "_exit", pytest.fail)
    runs: list[int] = []
    is_well = asyncio.Event()

    async def run() -> None:
        runs.append(len(runs))
        if len(runs) < supervision.MAX_FAILURES:
            raise KeyError("unexpected")
        is_well.set()
        await asyncio.Event().wait()

    supervisor = supervision.Supervisor(logs.EventLog("test"))
    supervisor.start(run)
    async with asyncio.timeout(5.0):
        await is_well.wait()
    await supervisor.stop()


async def test_task_that_always_fails_ends_the_process(monkeypatch) -> None:
    monkeypatch.setattr(supervision, "RESTART_DELAY_S", 0.001)
    ended: list[int] = []

    def end(status: int) -> None:
        ended.append(status)
        raise asyncio.CancelledError

    monkeypatch.setattr(os, "_exit", end)

    async def run() -> None:
        raise KeyError("unexpected")

    supervisor = supervision.Supervisor(logs.EventLog("test"))
    supervisor.start(run)
    async with asyncio.timeout(5.0):
        while not ended:
            await asyncio.sleep(0.001)
    await supervisor.stop()
    assert ended == [1]
