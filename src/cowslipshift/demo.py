"""A tour on the embedded stand-ins: ``make demo``."""

from __future__ import annotations

import asyncio
import sys
from typing import Any

import aiohttp
import uvloop

from cowslipshift import platformdemo
from cowslipshift.config import edits
from cowslipshift.serving.entry import idempotency
from cowslipshift.standins import localfleet
from cowslipshift.standins import shapes

SERVICE = "catalogue"
ACCOUNT = "workshop"
READ_COUNT = 200
CLIENT_COUNT = 20
KEY_WITHDRAWAL_LIMIT_S = 2.0


class DemoError(Exception):
    """Something did not happen as the tour says."""


class Walkthrough:
    """Sends requests as a caller would and says what happened."""

    def __init__(self, fleet: localfleet.LocalFleet) -> None:
        self._fleet = fleet
        self._headers = {"Authorization": f"Bearer {ACCOUNT}-key"}

    async def run(self) -> None:
        """Take all steps of the tour."""
        await self._show_lookup()
        await self._send_reads()
        await self._send_orders()
        await self._lose_host()
        await self._withdraw_key()
        await self._stop_host()

    async def _show_lookup(self) -> None:
        say("A till asks any host which one to use:")
        answer = await self._look_up("10.1.2.3")
        for host in answer["hosts"]:
            say(f"  {host['name']:<12} {host['region']:<8} {host['url']}")
        say(f"  It may keep this answer for {answer['lifetime_s']:g} s.")

    async def _send_reads(self) -> None:
        say(f"{CLIENT_COUNT} tills read {READ_COUNT} datasheets:")
        used: dict[str, int] = {}
        for status, headers, _ in await self._read_many(READ_COUNT):
            expect(status == 200, f"a read was answered with {status}")
            server = headers["X-Backend-Server"]
            used[server] = used.get(server, 0) + 1
        spread = ", ".join(f"{name} {n}" for name, n in sorted(used.items()))
        say(f"  all answered, by {spread}")

    async def _send_orders(self) -> None:
        say("An approval order is sent three times, to three hosts:")
        key = idempotency.make_key("north-a")
        urls = [host.url for host in self._fleet.hosts.values()][:3]
        for url in urls:
            status, _, _ = await self._send(url, "approvals", key)
            expect(status == 200, f"the order was answered with {status}")
        records = await self._fleet.fetch_backends("records")
        runs = sum(
            record["idempotency_key"] == key
            for rows in records.values()
            for record in rows
        )
        expect(runs == 1, f"the order ran {runs} times")
        say("  it ran once, and each time the same answer came back")

    async def _lose_host(self) -> None:
        victim = "north-a-1"
        say(f"Host {victim} is killed while tills keep reading:")
        reads = asyncio.create_task(self._read_many(READ_COUNT))
        await asyncio.sleep(0.1)
        await self._fleet.kill(victim)
        statuses = [status for status, _, _ in await reads]
        lost = sum(status != 200 for status in statuses)
        say(f"  {len(statuses) - lost} of {len(statuses)} were answered")
        await self._fleet.start_host(victim)
        await self._fleet.wait_settled(list(self._fleet.hosts))
        say(f"  {victim} was replaced and has joined again")

    async def _withdraw_key(self) -> None:
        say(f"The key of {ACCOUNT} is withdrawn:")
        loop = asyncio.get_running_loop()
        await self._fleet.edit(
            "the tour",
            edits.update_entry("keys", f"{ACCOUNT}-1", state="withdrawn"),
        )
        begun_s = loop.time()
        urls = [host.url for host in self._fleet.hosts.values()]
        while True:
            statuses = [(await self._send(url, SERVICE))[0] for url in urls]
            if all(status == 401 for status in statuses):
                break
            late = loop.time() - begun_s > KEY_WITHDRAWAL_LIMIT_S
            expect(not late, f"the key still works: {statuses}")
        say(f"  refused on all hosts {loop.time() - begun_s:.2f} s later")

    async def _stop_host(self) -> None:
        name = "south-a-1"
        say(f"Host {name} is stopped for maintenance:")
        status = await self._fleet.stop(name)
        expect(status == 0, f"exit status {status}")
        answer = await self._look_up("10.9.9.9")
        names = [host["name"] for host in answer["hosts"]]
        expect(name not in names, "it is still named in look-ups")
        say("  exit status 0, and look-ups no longer name it")

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

        async def run_till(till: int) -> None:
            answer = await self._look_up(f"10.0.{till}.1")
            urls = [host["url"] for host in answer["hosts"]]
            for _ in numbers:
                answers.append(await self._read_somewhere(urls))

        await asyncio.gather(*(run_till(till) for till in range(CLIENT_COUNT)))
        return answers

    async def _read_somewhere(
        self, urls: list[str]
    ) -> tuple[int, dict[str, str], bytes]:
        """Try hosts in the order of the look-up."""
        for url in urls:
            try:
                return await self._send(url, SERVICE)
            except aiohttp.ClientError:
                continue
        raise DemoError("no host of the look-up answered")

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


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def expect(condition: bool, text: str) -> None:
    """Stop the tour if something is not as it should be."""
    if not condition:
        raise DemoError(text)


async def run_demo() -> None:
    """Start a small deployment, take the tour, and clean up."""
    fleet = localfleet.LocalFleet(shapes.SMALL)
    try:
        say("Starting a store, nine backend servers and five hosts ...")
        await fleet.start()
        say(f"  running; logs are in {fleet.directory}")
        await Walkthrough(fleet).run()
    finally:
        await fleet.close()
    for line in await platformdemo.run_platform_demo():
        say(line)
    say("Done.")


def main() -> None:
    """Run the tour and report failure by exit status."""
    uvloop.install()
    try:
        asyncio.run(run_demo())
    except (
        DemoError,
        localfleet.StartError,
        platformdemo.PlatformDemoError,
    ) as error:
        print(f"demo failed: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
