"""Processes that the tests of this folder attack, one test at a time."""

from __future__ import annotations

import contextlib
import fcntl
import pathlib
import tempfile
from typing import TYPE_CHECKING

import pytest
from tests import builders
from tests.doors import crowds
from tests.edge import daemons

from cowslipshift.platform import names
from cowslipshift.standins import localfleet
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Iterator

LIMITS = {
    "max_header_bytes": 4096,
    "max_body_bytes": 65_536,
    "header_timeout_ms": 500,
    "idle_timeout_ms": 1000,
}
MACHINE = "[limits]\nmax_fds = 80\n"
LOCK = pathlib.Path(tempfile.gettempdir()) / "cowslipshift-doors.lock"


@pytest.fixture(autouse=True)
def alone() -> Iterator[None]:
    """Keep tests of this folder in other test runs waiting."""
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.asynccontextmanager
async def run_daemon(folder: pathlib.Path) -> AsyncIterator[daemons.Daemon]:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        for backend in fleet.backends.values():
            backend.behaviour.service_s = 0.0
        config = platformfleet.build_config(2, limits=LIMITS)
        fleet.store.put(names.CONFIG_KEY, config)
        started = daemons.Daemon(fleet)
        await started.start(folder, "attacked", "north-a", MACHINE)
        await started.wait_ready()
        try:
            yield started
        finally:
            started.process.kill()
            await started.process.wait()


@pytest.fixture
async def attacked(request, tmp_path) -> AsyncIterator[crowds.Attacked]:
    """Give the port that the test's parameter names."""
    port = request.param
    if port.startswith("own "):
        fleet = localfleet.LocalFleet(builders.TINY)
        try:
            await fleet.start()
            yield crowds.OwnAttacked(fleet, port)
        finally:
            await fleet.close()
    else:
        async with run_daemon(tmp_path) as daemon:
            yield crowds.PlatformAttacked(daemon, port)
