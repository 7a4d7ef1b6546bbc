"""Background tasks of a process and waiting for its stop signal."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import functools
import os
import signal
from typing import Any
from typing import TYPE_CHECKING

from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

RESTART_DELAY_S = 0.2
MAX_FAILURES = 5
FAILURE_WINDOW_S = 10.0
"""A process ends when a task has failed `MAX_FAILURES` times in this time."""


class Supervisor:
    """Runs background tasks, and runs one that failed again.

    A host must not go on without a task for long, so the process ends when
    a task fails again and again.

    Args:
        log: Log for the failure of a task.
    """

    def __init__(self, log: logs.EventLog) -> None:
        self._log = log
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, run: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a task.

        Args:
            run: Returns the task's coroutine, at each start.
        """
        self._tasks.append(asyncio.create_task(self._keep_running(run)))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(
        self, run: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        loop = asyncio.get_running_loop()
        failed_s: collections.deque[float] = collections.deque(
            maxlen=MAX_FAILURES
        )
        while True:
            try:
                await run()
                return
            except Exception as error:
                self._log.error("task_failed", **logs.describe_error(error))
            failed_s.append(loop.time())
            is_full = len(failed_s) == MAX_FAILURES
            if is_full and failed_s[-1] - failed_s[0] < FAILURE_WINDOW_S:
                self._log.error("process_ended", failures=MAX_FAILURES)
                os._exit(1)
            await asyncio.sleep(RESTART_DELAY_S)


class StopSignals:
    """The signals that stop the process, from its first line to its end.

    By default they end a process at once, also one that has not yet begun to
    wait for them, and one that is already stopping gracefully. No other code
    may handle them, such as that of an event loop or of its services: one
    that arrives while its handler is replaced would end the process.
    """

    def __init__(self) -> None:
        self._has_arrived = False
        self._wake: Callable[[], object] | None = None
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, self._note)

    async def wait(
        self, loop: asyncio.AbstractEventLoop, handler: logs.LineHandler
    ) -> None:
        """Flush log lines at an interval until a signal arrives.

        Later signals are ignored until the process has ended.
        """
        stopped = asyncio.Event()
        self._wake = functools.partial(loop.call_soon_threadsafe, stopped.set)
        while not self._has_arrived:
            handler.flush()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(logs.FLUSH_INTERVAL_S):
                    await stopped.wait()
        for signal_number in STOP_SIGNALS:
            signal.signal(signal_number, signal.SIG_IGN)

    def _note(self, *_: object) -> None:
        self._has_arrived = True
        if self._wake is not None:
            self._wake()
