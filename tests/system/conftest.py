from __future__ import annotations

from typing import TYPE_CHECKING

import pytest_asyncio

from cowslipshift.standins import localfleet
from tests import builders

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[localfleet.LocalFleet]:
    running = localfleet.LocalFleet(builders.TINY)
    try:
        await running.start()
        yield running
    finally:
        await running.close()


@pytest_asyncio.fixture
async def caller(fleet: localfleet.LocalFleet) -> builders.Caller:
    return builders.Caller(fleet)
