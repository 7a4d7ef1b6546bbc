"""Background tasks of a process and waiting for its stop signal."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from typing import Any
from typing import TYPE_CHECKING

from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Coroutine


class Supervisor:
    """Runs background tasks and ends the process when one of them fails.

    Args:
        log: Log for the failure of a task.
    """

    def __init__(self, log: logs.EventLog) -> None:
        self._log = log
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._check_task)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _check_task(self, task: asyncio.Task[None]) -> None:
        """End the process if a task failed: a host must not run without it."""
        if task.cancelled() or task.exception() is None:
            return
        self._log.error("task_failed", reason=repr(task.exception()))
        os._exit(1)


async def wait_for_stop(
    loop: asyncio.AbstractEventLoop, handler: logs.LineHandler
) -> None:
    """Flush log lines at an interval until SIGTERM or SIGINT arrives."""
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    while not stopped.is_set():
        handler.flush()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(logs.FLUSH_INTERVAL_S):
                await stopped.wait()
