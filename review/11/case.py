"""A completed roll-out after the store has come back from a copy."""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402  sets the path of the libraries

from cowslipshift.coordination import hashing  # noqa: E402

RAMP_S = 16.0
STAGE_KEY = "cowslipshift/stages/sheets"
STATUS_KEY = "status/rollout/sheets"
COPIED_STEP = 2
COPY_DELAY_S = 0.5
AWAY_FROM_S = 15.0
AWAY_FOR_S = 0.7
KILL_S = 15.0
RESTART_DELAY_S = 0.2
DRAIN_DELAY_S = 2.0
DRAIN_S = 2.0
JUDGED_FROM_S = 24.0
JUDGED_UNTIL_S = 36.0
REQUESTS_PER_S = 45.0


class Platform:
    """Starts and stops servers as the status of the roll-out says."""

    def __init__(self, fleet: deployment.Deployment) -> None:
        self.states: list[str] = []
        self._fleet = fleet

    async def run(self) -> None:
        """Follow the status."""
        while True:
            raw = self._fleet.store.get(STATUS_KEY)
            state = json.loads(raw)["state"] if raw else ""
            if state and (not self.states or self.states[-1] != state):
                self.states.append(state)
                self._fleet.record.write(f"status of the roll-out: {state}")
                if state == "completed":
                    self.end("old")
                elif state == "rolled_back":
                    asyncio.get_running_loop().call_later(
                        DRAIN_DELAY_S, self._drain_new
                    )
            await asyncio.sleep(0.05)

    def end(self, kind: str) -> None:
        """End the servers of a version at once, and remove their entries."""
        for identity in self._fleet.servers:
            if identity.startswith(kind):
                self._fleet.ended.add(identity)
                self._fleet.store.delete(f"servers/{identity}")
        self._fleet.record.write(f"the {kind} servers have ended")

    def remove_ended(self) -> None:
        """Remove the entries of servers that have ended once more."""
        for identity in self._fleet.ended:
            self._fleet.store.delete(f"servers/{identity}")

    def _drain_new(self) -> None:
        if self.states[-1] != "rolled_back":
            self._fleet.record.write("the new servers stay")
            return
        for identity, server in self._fleet.servers.items():
            if identity.startswith("new"):
                self._fleet.store.put(
                    f"servers/{identity}",
                    server.build_entry(
                        self._fleet.addresses[identity],
                        "sheets",
                        "north-a",
                        "v2",
                        "draining",
                    ),
                )
        self._fleet.record.write("the new servers drain")
        asyncio.get_running_loop().call_later(DRAIN_S, self.end, "new")


class Traffic:
    """Requests on the first route and on the one that was added later."""

    def __init__(
        self, fleet: deployment.Deployment, client: deployment.Client
    ) -> None:
        self.asked = {"first": 0, "added": 0}
        self.served = {"first": 0, "added": 0}
        self.is_judged = False
        self._sending: set[asyncio.Task[None]] = set()
        self._fleet = fleet
        self._client = client

    async def run(self) -> None:
        """Send requests to the hosts in turn until cancelled."""
        number = 0
        while True:
            for route, path in (("first", "/orders/"), ("added", "/sheets/")):
                host = self._fleet.hosts[number % len(self._fleet.hosts)]
                task = asyncio.create_task(
                    self._send(route, host, f"{path}{number}")
                )
                self._sending.add(task)
                task.add_done_callback(self._sending.discard)
            number += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    def cancel(self) -> None:
        """Give up all requests that are not answered yet."""
        for task in self._sending:
            task.cancel()

    async def _send(
        self, route: str, host: deployment.Host, path: str
    ) -> None:
        is_judged = self.is_judged
        _, status, _, _ = await self._client.send(host, path)
        if is_judged:
            self.asked[route] += 1
            self.served[route] += status == 200


def put_configuration(fleet: deployment.Deployment, version: int) -> None:
    """Write a version; the second one adds a route."""
    routes: list[dict[str, object]] = [
        {
            "name": "first",
            "prefix": "/orders/",
            "type": "idempotent",
            "service": "orders",
        }
    ]
    if version > 1:
        routes.append(
            {
                "name": "added",
                "prefix": "/sheets/",
                "type": "idempotent",
                "service": "sheets",
            }
        )
    fleet.put_config(
        deployment.build_config(routes, ["orders", "sheets"], version)
    )


async def lose_writes(
    fleet: deployment.Deployment, platform: Platform, begin_s: float
) -> None:
    """Let the store be away for a moment and come back from its copy."""
    await sleep_until(fleet, begin_s + AWAY_FROM_S)
    fleet.record.write("the store is away")
    fleet.store.faults.status = 503
    await asyncio.sleep(AWAY_FOR_S)
    fleet.store.come_back()
    fleet.store.faults.status = 0
    fleet.record.write("the store is back from its copy")
    platform.remove_ended()


async def sleep_until(fleet: deployment.Deployment, at_s: float) -> None:
    """Sleep until a time of the case."""
    await asyncio.sleep(max(0.0, at_s - fleet.record.now()))


async def case(
    record: deployment.Record, has_trouble: bool
) -> list[str]:
    """Roll out a sound version; kill the leader; lose what came last."""
    fleet = deployment.Deployment(
        record, {"north-a": "north", "south-a": "south"}, era=1
    )
    client = deployment.Client(record)
    traffic = Traffic(fleet, client)
    platform = Platform(fleet)
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.open()
        put_configuration(fleet, 1)
        for number in range(3):
            await fleet.add_server(f"order-{number}", "orders", "north-a")
            await fleet.add_server(f"old-{number}", "sheets", "north-a")
        for number in range(3):
            fleet.add_host("south-a" if number % 2 else "north-a")
        await fleet.wait_ready()
        put_configuration(fleet, 2)
        tasks.append(asyncio.create_task(traffic.run()))
        await asyncio.sleep(4.0)
        for number in range(3):
            await fleet.add_server(
                f"new-{number}", "sheets", "north-a", version="v2"
            )
        order = {
            "service": "sheets",
            "target_version": "v2",
            "ramp_s": RAMP_S,
        }
        fleet.store.put("op/rollout/sheets", json.dumps(order).encode())
        begin_s = record.now()
        record.write("the roll-out is ordered")
        tasks.append(asyncio.create_task(platform.run()))
        while True:
            raw = fleet.store.get(STAGE_KEY)
            if raw is not None and json.loads(raw)["step"] == COPIED_STEP:
                break
            if record.now() > begin_s + RAMP_S:
                raise deployment.CouldNotRun("the step was not reached")
            await asyncio.sleep(0.05)
        await asyncio.sleep(COPY_DELAY_S)
        fleet.store.copy_state()
        record.write("the store is copied")
        if has_trouble:
            tasks.append(
                asyncio.create_task(lose_writes(fleet, platform, begin_s))
            )
        await sleep_until(fleet, begin_s + KILL_S)
        if platform.states[-1] != "completed":
            raise deployment.CouldNotRun("the roll-out was not completed")
        names = [host.name for host in fleet.hosts]
        leader = hashing.rank_members("rollout|sheets", names)[0]
        host = fleet.hosts[names.index(leader)]
        record.write(f"{leader}, which wrote the stages, is killed")
        host.end()
        await asyncio.sleep(RESTART_DELAY_S)
        host.start()
        await sleep_until(fleet, begin_s + JUDGED_FROM_S)
        traffic.is_judged = True
        await sleep_until(fleet, begin_s + JUDGED_UNTIL_S)
        traffic.is_judged = False
        await asyncio.sleep(2.0)
        asked, served = traffic.asked, traffic.served
        shares = {r: served[r] / max(1, asked[r]) for r in asked}
        text = (
            f"status {' '.join(platform.states)}; served of the first route "
            f"{served['first']} of {asked['first']}, of the added one "
            f"{served['added']} of {asked['added']}"
        )
        print(text)
        record.write(text)
        if shares["added"] < shares["first"] / 4.0:
            return [f"CONFIG: {text}"]
        return []
    finally:
        for task in tasks:
            task.cancel()
        traffic.cancel()
        await client.close()
        await fleet.close()


deployment.run_case(case, FOLDER)
