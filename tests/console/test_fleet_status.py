"""Status requests to hosts that send answers too many."""

from __future__ import annotations

import msgspec
from tests.edge import faultyserver

from cowslipshift.console import fleetstatus


# Guards against stale status: the copy of an earlier answer is taken for the
# answer to the next request on its connection.
async def test_copied_status_is_not_taken_for_a_later_one() -> None:
    def script(headers, number) -> list[faultyserver.Step]:
        status = {"hosts": {"a-1": url}, "revision": number}
        answer = faultyserver.build_plain_answer(
            200, body=msgspec.json.encode(status)
        )
        return [
            faultyserver.Step(answer),
            faultyserver.Step(answer, is_held=True),
        ]

    async with faultyserver.FaultyServer(script) as host:
        url = f"http://{host.address}"
        fleet = await fleetstatus.fetch_fleet_status(url)
    assert fleet == {"a-1": {"hosts": {"a-1": url}, "revision": 1}}
