"""What a host denies that can't know whether its configuration is recent."""

from __future__ import annotations

import asyncio

import pytest

from cowslipshift.platform import settings as platform_settings
from cowslipshift.standins import platformfleet

MS_PER_S = 1000


# Guards against CONFIG: a host that is cut off answers 404 or 401, as an older
# configuration says, which callers do not try elsewhere.
@pytest.mark.parametrize(
    "request_of, status",
    [({"path": "/nowhere/1"}, 404), ({"api_key": "another"}, 401)],
)
async def test_host_with_an_old_replica_denies_nothing(
    request_of, status
) -> None:
    async with platformfleet.PlatformFleet(backends=1) as fleet:
        assert (await fleet.send_request(**request_of))[0] == status
        fleet.store.faults.status = 503
        fleet.store.cut_watches()
        bound_s = platform_settings.Bounds().config_apply_ms / MS_PER_S
        await asyncio.sleep(bound_s)
        found, _, headers = await fleet.send_request(**request_of)
        assert found == 503
        assert float(headers["Retry-After"]) > 0.0
        assert (await fleet.send_request())[0] == 200
        fleet.store.faults.status = 0
        async with asyncio.timeout(bound_s):
            while (await fleet.send_request(**request_of))[0] != status:
                await asyncio.sleep(0.1)
