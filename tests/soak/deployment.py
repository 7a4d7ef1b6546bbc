"""Hosts as processes of their own, disrupted at times that a seed draws."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import aiohttp
from tests.edge import daemons
from tests.soak import history as histories

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    import pathlib
    import random

CENTRES = ("north-a", "south-a")
GRACE_S = 2.0
EXIT_SLACK_S = 1.0
RESTART_PAUSE_S = 0.3
MIN_SERVERS = 3
LATE_WRITE_S = 1.2
RESTARTED_ENTRY_S = 1.0
"""How long the entry of a server outlives it when it starts again."""

EXIT_AFTER_S = 8.0
"""How long a leaving server goes on serving after its report."""


class Host(daemons.Daemon):
    """A host process.

    Attributes:
        name: Name of the host.
        is_named: Whether look-ups name it.
        is_disrupted: Whether a disruption of it is under way.
    """

    def __init__(
        self, fleet: platformfleet.PlatformFleet, name: str, centre: str
    ) -> None:
        super().__init__(fleet)
        self.name = name
        self.centre = centre
        self.is_named = False
        self.is_disrupted = False


class Deployment:
    """Hosts, servers and the store, and what may happen to them.

    Args:
        folder: Folder for settings and logs.
        draw: Source of all choices.
        history: Receives what is done.
        hosts: Number of hosts in each data centre.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        draw: random.Random,
        history: histories.History,
        hosts: int = 2,
    ) -> None:
        self.fleet = platformfleet.PlatformFleet(hosts=0)
        self.hosts = [
            Host(self.fleet, f"{centre}-{number}", centre)
            for centre in CENTRES
            for number in range(hosts)
        ]
        self._folder = folder
        self._draw = draw
        self._history = history
        self._version = 1
        self._left: set[str] = set()
        self._has_store_disruption = False
        self.disruptions = (
            self.stop,
            self.kill,
            self.freeze,
            self.reload,
            self.disrupt_store,
            self.configure,
            self.configure,
            self.drain,
            self.drain,
            self.disrupt_server,
            self.disrupt_server,
            self.restart_server,
            self.restart_server,
        )

    async def __aenter__(self) -> Deployment:
        """Start everything and wait until all hosts are ready."""
        await self.fleet.__aenter__()
        for server in self.fleet.backends.values():
            server.behaviour.copies_refusals = True
        await asyncio.gather(*(self._start(host) for host in self.hosts))
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes that were started."""
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        await self.fleet.__aexit__()

    def choose_host(self) -> Host | None:
        """Return a host that look-ups name."""
        named = [host for host in self.hosts if host.is_named]
        return self._draw.choice(named) if named else None

    def find_ended(self) -> list[str]:
        """Return the hosts whose process ended by itself."""
        return [
            host.name
            for host in self.hosts
            if not host.is_disrupted
            and host.process is not None
            and host.process.returncode is not None
        ]

    # Disruptions

    async def stop(self) -> None:
        """Stop a host as planned, and start it again."""
        host = self._take_host()
        if host is None:
            return
        started_s = _now()
        assert host.process is not None
        host.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + EXIT_SLACK_S):
                status = await host.process.wait()
            if status != 0:
                self._note(f"{host.name} ended a planned stop with {status}")
        except TimeoutError:
            self._note(f"{host.name} outlived its grace")
            host.process.kill()
            await host.process.wait()
        await self._restart(host, "stop", started_s, is_planned=True)

    async def kill(self) -> None:
        """Kill a host, and start it again."""
        host = self._take_host()
        if host is None:
            return
        started_s = _now()
        assert host.process is not None
        host.process.kill()
        await host.process.wait()
        await asyncio.sleep(RESTART_PAUSE_S)
        await self._restart(host, "kill", started_s)

    async def freeze(self) -> None:
        """Pause a host for some time."""
        host = self._take_host()
        if host is None:
            return
        started_s = _now()
        assert host.process is not None
        host.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._draw.uniform(0.5, 2.5))
        host.process.send_signal(signal.SIGCONT)
        self._release(host, "freeze", started_s)

    async def reload(self) -> None:
        """Tell a host that its settings may have changed."""
        host = self._take_host()
        if host is not None:
            assert host.process is not None
            host.process.send_signal(signal.SIGHUP)
            host.is_disrupted = False
            host.is_named = True

    async def disrupt_store(self) -> None:
        """Disrupt the store in one of several ways."""
        if self._has_store_disruption:
            return
        self._has_store_disruption = True
        started_s = _now()
        faults = self.fleet.store.faults
        kind = self._draw.choice(("down", "slow", "lost", "compact"))
        if kind == "down":
            faults.status = 503
        elif kind == "slow":
            faults.delay_s = 0.3
        elif kind == "lost":
            faults.lose_writes = 3
        else:
            self.fleet.store.compact_history()
        await asyncio.sleep(self._draw.uniform(0.5, 2.0))
        faults.status, faults.delay_s, faults.lose_writes = 0, 0.0, 0
        self._has_store_disruption = False
        self._history.disruptions.append(
            histories.Disruption("", kind, started_s, _now())
        )

    async def disrupt_server(self) -> None:
        """Let a server misbehave in one of several ways for some time."""
        serving = [s for s in self.fleet.backends if s not in self._left]
        behaviour = self.fleet.backends[self._draw.choice(serving)].behaviour
        kind = self._draw.choice(
            ("silent", "cut_short", "crossed", "unsigned", "shed")
        )
        setattr(behaviour, kind, True)
        await asyncio.sleep(self._draw.uniform(0.5, 2.0))
        setattr(behaviour, kind, False)

    async def restart_server(self) -> None:
        """Start a server again at its address before its entry has gone."""
        serving = [s for s in self.fleet.backends if s not in self._left]
        ended = self._draw.choice(serving)
        self._left.add(ended)
        self.fleet.restart_backend(ended)
        await asyncio.sleep(RESTARTED_ENTRY_S)
        self.fleet.store.delete(names.BACKEND_PREFIX + ended)

    async def configure(self) -> None:
        """Replace the API key by a new one; check that hosts follow."""
        self._version += 1
        version, written_s = self._version, _now()
        config = platformfleet.build_config(version)
        old, new = f"key-{version - 1}", f"key-{version}"
        keys = [platformfleet.API_KEY, new]
        config = config.replace(
            f'["{platformfleet.API_KEY}"]'.encode(),
            str(keys).replace("'", '"').encode(),
        )
        self.fleet.store.put(names.CONFIG_KEY, config)
        await asyncio.sleep(histories.APPLY_S)
        for host in self.hosts:
            statuses = await self._probe_keys(host, old, new)
            if self._version != version:
                return
            if statuses is None:
                continue
            is_calm = self._history.is_calm(
                host.name, written_s - histories.CONTACT_S, _now()
            )
            is_excused = host.is_disrupted or self._has_store_disruption
            is_wrong = statuses[0] != 401 or statuses[1] == 401
            if is_calm and not is_excused and is_wrong:
                self._note(f"CONFIG at {_now()}: {host.name} {new} {statuses}")

    async def _probe_keys(
        self, host: Host, *api_keys: str
    ) -> list[int] | None:
        """Return the statuses with API keys; ``None`` if the host is away."""
        statuses = []
        for key in api_keys:
            try:
                async with asyncio.timeout(histories.CONTACT_S):
                    status, _, _ = await self.fleet.send_request(
                        public_address=host.front,
                        request_id=f"probe-{host.name}-{key}",
                        api_key=key,
                    )
            except (OSError, TimeoutError, aiohttp.ClientError):
                return None
            statuses.append(status)
        return statuses

    async def drain(self) -> None:
        """Empty a server and take it away; another one takes its place."""
        service = self._draw.choice(
            (platformfleet.READ_SERVICE, platformfleet.WRITE_SERVICE)
        )
        serving = [
            identity
            for identity, (found, _) in self.fleet.backend_locations.items()
            if found == service and identity not in self._left
        ]
        if len(serving) <= MIN_SERVERS:
            return
        leaving = self._draw.choice(serving)
        self._left.add(leaving)
        late = self.fleet.build_next_entry(leaving, "ready")
        self.fleet.update_backend_state(leaving, "draining")
        self._history.leaving.append(histories.Leaving(leaving, _now()))
        key = names.BACKEND_PREFIX + leaving
        await asyncio.sleep(LATE_WRITE_S)
        if self._draw.random() < 0.5:
            # A write from before the report, which got no answer.
            self.fleet.store.put(key, late)
        await asyncio.sleep(EXIT_AFTER_S - LATE_WRITE_S)
        self.fleet.store.delete(key)
        centre = self.fleet.backend_locations[leaving][1]
        successor = await self.fleet.add_backend(service, centre)
        successor.behaviour.copies_refusals = True

    # Hosts

    def _take_host(self) -> Host | None:
        """Choose a host to disrupt; at least half of them stay as they are."""
        calm = [host for host in self.hosts if not host.is_disrupted]
        if len(calm) <= len(self.hosts) // 2:
            return None
        host = self._draw.choice(calm)
        host.is_disrupted = True
        host.is_named = False
        return host

    async def _restart(
        self, host: Host, kind: str, started_s: float, is_planned: bool = False
    ) -> None:
        await self._start(host)
        self._release(host, kind, started_s, is_planned)

    async def _start(self, host: Host) -> None:
        await host.start(self._folder, host.name, host.centre)
        await host.wait_ready()
        host.is_named = True

    def _release(
        self, host: Host, kind: str, started_s: float, is_planned: bool = False
    ) -> None:
        host.is_disrupted = False
        host.is_named = True
        self._history.disruptions.append(
            histories.Disruption(
                host.name, kind, started_s, _now(), is_planned
            )
        )

    def _note(self, violation: str) -> None:
        self._history.violations.append(violation)


def _now() -> float:
    return asyncio.get_running_loop().time()
