"""Status requests to the hosts of the fleet."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from cowslipshift import connections
from cowslipshift import exceptions

REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1


class HostUnreachableError(exceptions.CowslipshiftError):
    """A host did not answer."""

    code = "host_unreachable"


async def fetch_status(
    session: aiohttp.ClientSession, url: str
) -> dict[str, Any]:
    """Request the status of one host.

    Args:
        session: HTTP client session.
        url: Base URL of the host.

    Raises:
        HostUnreachableError: The host did not answer, or not with JSON.
    """
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with session.get(f"{url}/v1/status", timeout=timeout) as answer:
            status: dict[str, Any] = msgspec.json.decode(await answer.read())
            return status
    except (
        aiohttp.ClientError,
        TimeoutError,
        OSError,
        msgspec.DecodeError,
    ) as error:
        raise HostUnreachableError(
            f"{url} did not answer: {error!r}"
        ) from error


async def fetch_fleet_status(url: str) -> dict[str, dict[str, Any] | None]:
    """Request the list of hosts from one host, and the status of each.

    Args:
        url: Base URL of any host.

    Returns:
        Status by host name; ``None`` for hosts that did not answer.

    Raises:
        HostUnreachableError: The host at the URL did not answer.
    """
    async with connections.open_control_session() as session:
        first_status = await fetch_status(session, url)
        addresses: dict[str, str] = first_status["hosts"]

        async def fetch_or_none(address: str) -> dict[str, Any] | None:
            try:
                return await fetch_status(session, address)
            except HostUnreachableError:
                return None

        statuses = await asyncio.gather(
            *map(fetch_or_none, addresses.values())
        )
    return dict(zip(addresses, statuses, strict=True))


async def wait_for_revision(
    url: str, revision: int, timeout_s: float
) -> list[str]:
    """Wait until all hosts have applied a revision or a later one.

    Args:
        url: Base URL of any host.
        revision: Configuration revision.
        timeout_s: Seconds to wait.

    Returns:
        Names of the hosts that have not applied it when the wait ends.

    Raises:
        HostUnreachableError: The host at the URL did not answer.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        fleet = await fetch_fleet_status(url)
        pending_hosts = [
            name
            for name, status in fleet.items()
            if status is None or status["revision"] < revision
        ]
        if not pending_hosts or loop.time() >= deadline_s:
            return pending_hosts
        await asyncio.sleep(POLL_INTERVAL_S)
