"""The commands ``cowslipshift fleet`` and ``cowslipshift lookup``."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from cowslipshift.console import fleetstatus
from cowslipshift.console import output
from cowslipshift.console import session
from cowslipshift.serving import refusals


class FleetCommand:
    """Show the status of the hosts of the fleet."""

    def status(self, host: str | None = None, json: bool = False) -> None:
        """Show the configuration revision, state and load of each host.

        Args:
            host: Base URL of any host.
            json: Print JSON.
        """
        fleet = asyncio.run(
            fleetstatus.fetch_fleet_status(session.resolve_host_url(host))
        )
        rows = [["HOST", "DATA CENTRE", "REVISION", "STATE", "LINKS", "SLOTS"]]
        rows += [
            _describe_host(name, status) for name, status in fleet.items()
        ]
        output.print_result(fleet, output.format_table(rows), json)

    def show(self, name: str, host: str | None = None) -> None:
        """Show the full status of one host as JSON.

        Args:
            name: Name of the host.
            host: Base URL of any host.
        """
        fleet = asyncio.run(
            fleetstatus.fetch_fleet_status(session.resolve_host_url(host))
        )
        if fleet.get(name) is None:
            raise fleetstatus.HostUnreachableError(
                f"host {name} is unknown or did not answer"
            )
        output.print_result(fleet[name], [], True)


def lookup(
    service: str,
    block: str | None = None,
    host: str | None = None,
    json: bool = False,
) -> None:
    """Look up the hosts to use for a service.

    Args:
        service: Name of the service.
        block: Client address or address block; the address that the request
            comes from if left out.
        host: Base URL of any host.
        json: Print JSON.
    """
    url = session.resolve_host_url(host)
    answer = asyncio.run(_fetch_lookup(url, service, block))
    rows = [["HOST", "DATA CENTRE", "REGION", "URL"]]
    rows += [
        [h["name"], h["data_centre"], h["region"], h["url"]]
        for h in answer["hosts"]
    ]
    lines = output.format_table(rows)
    lines.append(
        f"valid for {answer['lifetime_s']:g} s, revision {answer['revision']}"
    )
    output.print_result(answer, lines, json)


async def _fetch_lookup(
    url: str, service: str, block: str | None
) -> dict[str, Any]:
    query = {"service": service}
    if block:
        query["block"] = block
    timeout = aiohttp.ClientTimeout(total=fleetstatus.REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as client,
            client.get(f"{url}/v1/lookup", params=query) as response,
        ):
            raw = await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise fleetstatus.HostUnreachableError(
            f"{url} did not answer: {error!r}"
        ) from error
    if response.status != 200:
        raise refusals.decode_refusal(response.status, raw)
    answer: dict[str, Any] = msgspec.json.decode(raw)
    return answer


def _describe_host(name: str, status: dict[str, Any] | None) -> list[str]:
    if status is None:
        return [name, "-", "-", "no answer", "-", "-"]
    state = "live"
    if status["leaving"]:
        state = "leaving"
    elif status["suspended"]:
        state = "suspended"
    elif not status["settled"]:
        state = "joining"
    usable = sum(load["usable"] for load in status["loads"])
    in_use = sum(load["in_use"] for load in status["loads"])
    return [
        name,
        status["data_centre"],
        str(status["revision"]),
        state,
        str(len(status["linked"])),
        f"{in_use}/{usable}",
    ]
