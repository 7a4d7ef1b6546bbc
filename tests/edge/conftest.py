"""Reports stalls of the event loop with a failed test."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

CHECK_INTERVAL_S = 0.01
MIN_REPORTED_STALL_S = 0.3
"""A large part of the time limit of the tests' routes."""


@pytest.fixture(autouse=True)
async def loop_stalls() -> AsyncIterator[None]:
    async def check_loop() -> None:
        while True:
            wall_s, cpu_s = time.perf_counter(), time.process_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            late_s = time.perf_counter() - wall_s - CHECK_INTERVAL_S
            if late_s > MIN_REPORTED_STALL_S:
                used_s = time.process_time() - cpu_s
                print(
                    f"event loop stalled: {late_s:.2f} s, cpu {used_s:.2f} s"
                )

    task = asyncio.create_task(check_loop())
    yield
    task.cancel()
