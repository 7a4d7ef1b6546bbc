"""Asking all hosts for their status."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import msgspec

from cowslipshift import exceptions

REQUEST_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1


class HostUnreachableError(exceptions.CowslipshiftError):
    """A host did not answer."""

    code = "host_unreachable"


async def fetch_status(
    session: aiohttp.ClientSession, url: str
) -> dict[str, Any]:
    """Ask one host for its status.

    Raises:
        HostUnreachableError: It did not answer.
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
    """Ask one host which hosts there are, and each of them for its status.

    Returns:
        Status by host; ``None`` for hosts that did not answer.
    """
    async with aiohttp.ClientSession() as session:
        first = await fetch_status(session, url)
        addresses: dict[str, str] = first["hosts"]

        async def ask(address: str) -> dict[str, Any] | None:
            try:
                return await fetch_status(session, address)
            except HostUnreachableError:
                return None

        answers = await asyncio.gather(*map(ask, addresses.values()))
    return dict(zip(addresses, answers, strict=True))


async def wait_for_revision(
    url: str, revision: int, timeout_s: float
) -> list[str]:
    """Wait until all hosts have a revision in force.

    Returns:
        The hosts that lack it when the time is over.
    """
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while True:
        fleet = await fetch_fleet_status(url)
        lacking = [
            name
            for name, status in fleet.items()
            if status is None or status["revision"] < revision
        ]
        if not lacking or loop.time() >= until_s:
            return lacking
        await asyncio.sleep(POLL_INTERVAL_S)
