"""Demonstration on a local deployment of stand-ins: ``make demo``."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import aiohttp
import uvloop

from cowslipshift import platformdemo
from cowslipshift.config import edits
from cowslipshift.serving.entry import idempotency
from cowslipshift.standins import deployments
from cowslipshift.standins import localfleet

SERVICE = "catalogue"
ACCOUNT = "workshop"
READ_COUNT = 200
CLIENT_COUNT = 20
KEY_WITHDRAWAL_LIMIT_S = 2.0


class DemoError(Exception):
    """A step of the demonstration did not have the expected result."""


class Walkthrough:
    """Sends requests as a client would and prints the results."""

    def __init__(self, fleet: localfleet.LocalFleet) -> None:
        self._fleet = fleet
        self._headers = {"Authorization": f"Bearer {ACCOUNT}-key"}

    async def run(self) -> None:
        """Run all steps in turn."""
        await self._show_lookup_answer()
        await self._send_reads()
        await self._send_orders()
        await self._kill_host()
        await self._withdraw_key()
        await self._stop_host()

    async def _show_lookup_answer(self) -> None:
        print_line("A client looks up the hosts to use for a service:")
        answer = await self._look_up("10.1.2.3")
        for host in answer["hosts"]:
            print_line(
                f"  {host['name']:<12} {host['region']:<8} {host['url']}"
            )
        print_line(
            f"  The answer may be cached for {answer['lifetime_s']:g} s."
        )

    async def _send_reads(self) -> None:
        print_line(f"{CLIENT_COUNT} clients read {READ_COUNT} datasheets:")
        used: dict[str, int] = {}
        for status, headers, _ in await self._read_many(READ_COUNT):
            expect(status == 200, f"a read was answered with status {status}")
            server = headers["X-Backend-Server"]
            used[server] = used.get(server, 0) + 1
        spread = ", ".join(f"{name} {n}" for name, n in sorted(used.items()))
        print_line(f"  all succeeded; requests by backend server: {spread}")

    async def _send_orders(self) -> None:
        print_line("An approval order is sent three times, to three hosts:")
        key = idempotency.make_key("north-a")
        urls = [host.url for host in self._fleet.hosts.values()][:3]
        for url in urls:
            status, _, _ = await self._send(url, "approvals", key)
            expect(
                status == 200, f"the order was answered with status {status}"
            )
        records = await self._fleet.fetch_backends("records")
        runs = sum(
            record["idempotency_key"] == key
            for rows in records.values()
            for record in rows
        )
        expect(runs == 1, f"the order was executed {runs} times")
        print_line("  it was executed once; every send got the same answer")

    async def _kill_host(self) -> None:
        name = "north-a-1"
        print_line(f"Host {name} is killed while clients keep reading:")
        reads = asyncio.create_task(self._read_many(READ_COUNT))
        await asyncio.sleep(0.1)
        await self._fleet.kill(name)
        statuses = [status for status, _, _ in await reads]
        lost = sum(status != 200 for status in statuses)
        print_line(
            f"  {len(statuses) - lost} of {len(statuses)} reads succeeded"
        )
        await self._fleet.start_host(name)
        await self._fleet.wait_settled(list(self._fleet.hosts))
        print_line(f"  {name} was restarted and has rejoined")

    async def _withdraw_key(self) -> None:
        print_line(f"The key of {ACCOUNT} is withdrawn:")
        loop = asyncio.get_running_loop()
        await self._fleet.edit(
            "the tour",
            edits.update_entry("keys", f"{ACCOUNT}-1", state="withdrawn"),
        )
        started_s = loop.time()
        urls = [host.url for host in self._fleet.hosts.values()]
        while True:
            statuses = [(await self._send(url, SERVICE))[0] for url in urls]
            if all(status == 401 for status in statuses):
                break
            late = loop.time() - started_s > KEY_WITHDRAWAL_LIMIT_S
            expect(
                not late, f"the withdrawn key is still accepted: {statuses}"
            )
        print_line(
            f"  rejected by all hosts after {loop.time() - started_s:.2f} s"
        )

    async def _stop_host(self) -> None:
        name = "south-a-1"
        print_line(f"Host {name} is stopped for maintenance:")
        status = await self._fleet.stop(name)
        expect(status == 0, f"exit status {status}")
        answer = await self._look_up("10.9.9.9")
        names = [host["name"] for host in answer["hosts"]]
        expect(
            name not in names, "the stopped host is still returned by look-ups"
        )
        print_line("  exit status 0; look-ups no longer return it")

    async def _look_up(self, block: str) -> Any:
        url = next(iter(self._fleet.hosts.values())).url
        return await self._fleet.fetch(
            f"{url}/v1/lookup?service={SERVICE}&block={block}"
        )

    async def _read_many(
        self, count: int
    ) -> list[tuple[int, dict[str, str], bytes]]:
        answers: list[tuple[int, dict[str, str], bytes]] = []
        numbers = iter(range(count))

        async def run_client(client: int) -> None:
            answer = await self._look_up(f"10.0.{client}.1")
            urls = [host["url"] for host in answer["hosts"]]
            for _ in numbers:
                answers.append(await self._read_from_first(urls))

        await asyncio.gather(
            *(run_client(client) for client in range(CLIENT_COUNT))
        )
        return answers

    async def _read_from_first(
        self, urls: list[str]
    ) -> tuple[int, dict[str, str], bytes]:
        """Try hosts in the order of the look-up until one answers."""
        for url in urls:
            try:
                return await self._send(url, SERVICE)
            except aiohttp.ClientError:
                continue
        raise DemoError("none of the hosts in the look-up answered")

    async def _send(
        self, url: str, service: str, key: str | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        headers = dict(self._headers)
        method = "GET"
        if key is not None:
            headers["Idempotency-Key"] = key
            method = "POST"
        async with self._fleet.session.request(
            method, f"{url}/v1/services/{service}/sheets/7", headers=headers
        ) as response:
            body = await response.read()
            return response.status, dict(response.headers), body


def print_line(text: str) -> None:
    """Print a line and flush it."""
    print(text, flush=True)


def expect(condition: bool, text: str) -> None:
    """Raise `DemoError` unless a condition holds."""
    if not condition:
        raise DemoError(text)


async def run_demo() -> None:
    """Start a small deployment, run the demonstration and clean up."""
    fleet = localfleet.LocalFleet(deployments.SMALL)
    try:
        print_line("Starting a store, nine backend servers and five hosts ...")
        await fleet.start()
        print_line(f"  started; logs are in {fleet.directory}")
        await Walkthrough(fleet).run()
    finally:
        await fleet.close()
    for line in await platformdemo.run_platform_demo():
        print_line(line)
    print_line("Done.")


def main() -> None:
    """Run the demonstration; exit with status 1 if it fails."""
    uvloop.install()
    try:
        asyncio.run(run_demo())
    except (
        DemoError,
        localfleet.WaitTimeoutError,
        platformdemo.PlatformDemoError,
    ) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
