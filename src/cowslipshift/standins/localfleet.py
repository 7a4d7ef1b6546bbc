"""A deployment on this machine, with one process for each daemon."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
import time
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift.config import editor as editors
from cowslipshift.config import edits
from cowslipshift.standins import deployments
from cowslipshift.store import client as clients

if TYPE_CHECKING:
    from cowslipshift.config import model

SECRET = "local-fleet-secret"
WAIT_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


class WaitTimeoutError(Exception):
    """A condition was not met in time."""


class LocalFleet:
    """Starts, stops, kills and pauses the processes of a deployment.

    Args:
        deployment: The deployment.
        log_level: Log level of the daemons.
        directory: Directory of the log files; by default a temporary one.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        log_level: str = "info",
        directory: str | None = None,
    ) -> None:
        self.deployment = deployment
        self.ports = deployments.PortAllocator()
        self.configuration = deployments.build_configuration(
            deployment, self.ports
        )
        self.store_url = (
            f"http://{deployments.LOOPBACK_ADDRESS}:{self.ports.allocate()}"
        )
        self.directory = pathlib.Path(
            directory or tempfile.mkdtemp(prefix="cowslipshift-")
        )
        self._log_level = log_level
        self._processes: dict[str, asyncio.subprocess.Process] = {}
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP session without a connection limit, for tests and demos."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0)
            )
        return self._session

    @property
    def hosts(self) -> dict[str, model.Host]:
        """The hosts by name."""
        return {host.name: host for host in self.configuration.hosts}

    async def start(self, hosts: list[str] | None = None) -> None:
        """Start store, backend servers and hosts; wait until they are ready.

        Args:
            hosts: Names of the hosts to start; by default all.
        """
        await self.start_store()
        await self.start_backends()
        await self.put_configuration()
        names = list(self.hosts) if hosts is None else hosts
        await asyncio.gather(*(self.start_host(name) for name in names))
        await self.wait_settled(names)

    async def start_store(self) -> None:
        """Start the stand-in of the store and wait until it answers."""
        port = self.store_url.rpartition(":")[2]
        await self._spawn(
            "store",
            "cowslipshift.console.application",
            "standin",
            "store",
            f"--port={port}",
        )
        await self._wait_http(f"{self.store_url}/control/stats")

    async def start_backends(self) -> None:
        """Start one process that serves the stand-ins of all servers."""
        specification_path = self.directory / "backends.json"
        service_times_ms = {
            s.name: s.service_ms for s in self.deployment.services
        }
        specifications = [
            {
                "name": server.name,
                "version": server.version,
                "port": int(server.url.rpartition(":")[2]),
                "slots": server.slots,
                "service_ms": service_times_ms[server.service],
            }
            for server in self.configuration.servers
        ]
        specification_path.write_bytes(msgspec.json.encode(specifications))
        await self._spawn(
            "backends",
            "cowslipshift.console.application",
            "standin",
            "backends",
            f"--file={specification_path}",
        )
        for server in self.configuration.servers:
            await self._wait_http(f"{server.url}/health")

    async def put_configuration(self) -> None:
        """Write the configuration to the store as the next revision."""
        self.configuration = await self.edit(
            "start", edits.replace_document(self.configuration)
        )

    async def edit(self, reason: str, edit: edits.Edit) -> model.Configuration:
        """Apply an edit to the configuration in the store.

        Args:
            reason: Reason to record with the change.
            edit: The edit.

        Returns:
            The new configuration.
        """
        store = clients.StoreClient([self.store_url], self.session)
        editor = editors.Editor(store, "local")
        return await editor.change(reason, time.time(), edit)

    async def start_host(self, name: str, **flags: object) -> None:
        """Start a host's daemon and wait until it answers.

        Args:
            name: Name of the host.
            **flags: Further flags of the daemon; they override the defaults.
        """
        host = self.hosts[name]
        centre = next(
            c
            for c in self.configuration.data_centres
            if c.name == host.data_centre
        )
        bootstrap_peers = [
            h.peer for h in self.hosts.values() if h.name != name
        ][:3]
        all_flags = {
            "name": name,
            "data_centre": centre.name,
            "region": centre.region,
            "listen": host.url.removeprefix("http://"),
            "peer_listen": host.peer,
            "store": self.store_url,
            "peers": ",".join(bootstrap_peers),
            "log_level": self._log_level,
            **flags,
        }
        await self._spawn(
            name,
            "cowslipshift.daemon.main",
            *(f"--{flag}={value}" for flag, value in all_flags.items()),
        )
        await self._wait_http(f"{host.url}/v1/status")

    async def wait_settled(self, names: list[str]) -> None:
        """Wait until hosts are linked, configured and may use their slots."""
        await self.wait_until(lambda: self._are_settled(names))

    async def wait_until(
        self, check: Any, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        """Wait until an asynchronous check returns true.

        Raises:
            WaitTimeoutError: The check did not return true in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await check():
            if time.monotonic() > deadline_s:
                raise WaitTimeoutError(
                    f"condition {check} not met in time, "
                    f"logs in {self.directory}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    async def fetch(self, url: str) -> Any:
        """Fetch a URL and decode the JSON answer."""
        async with self.session.get(url) as response:
            return msgspec.json.decode(await response.read())

    async def fetch_status(self, name: str) -> Any:
        """Fetch the status of a host."""
        return await self.fetch(f"{self.hosts[name].url}/v1/status")

    async def post(self, url: str, value: object) -> Any:
        """Post a value as JSON and decode the JSON answer."""
        async with self.session.post(
            url, data=msgspec.json.encode(value)
        ) as response:
            return msgspec.json.decode(await response.read())

    async def set_store_faults(self, **faults: object) -> None:
        """Set faults of the store, fields of `standins.store.Faults`."""
        await self.post(f"{self.store_url}/control/faults", faults)

    async def set_behaviour(self, server: str, **behaviour: object) -> None:
        """Set fields of a server's `standins.backend.Behaviour`."""
        url = next(
            s.url for s in self.configuration.servers if s.name == server
        )
        await self.post(f"{url}/control/behaviour", behaviour)

    async def fetch_backends(self, endpoint: str = "stats") -> dict[str, Any]:
        """Fetch a control endpoint of all backend servers, by server name.

        Args:
            endpoint: ``stats`` or ``records``.
        """
        servers = self.configuration.servers
        answers = await asyncio.gather(
            *(self.fetch(f"{s.url}/control/{endpoint}") for s in servers)
        )
        return {s.name: a for s, a in zip(servers, answers, strict=True)}

    def get_pid(self, name: str) -> int:
        """Return the process id of a process, by its name."""
        return self._processes[name].pid

    def signal_process(self, name: str, number: int) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        await self._processes.pop(name).wait()

    async def stop(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit status.

        Raises:
            TimeoutError: It did not exit within ``STOP_TIMEOUT_S``.
        """
        process = self._processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await process.wait()

    async def close(self) -> None:
        """Kill all processes, paused ones too, and release the ports."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(p.wait() for p in self._processes.values()))
        self._processes.clear()
        if self._session is not None:
            await self._session.close()
        self.ports.release()

    async def _are_settled(self, names: list[str]) -> bool:
        for name in names:
            try:
                status = await self.fetch_status(name)
            except aiohttp.ClientError:
                return False
            is_linked = len(status["linked"]) >= len(names) - 1
            is_settled = status["settled"] and not status["homes_waiting"]
            if not is_settled or not is_linked or not status["revision"]:
                return False
        return True

    async def _spawn(self, name: str, module: str, *arguments: str) -> None:
        log_file = (self.directory / f"{name}.log").open("ab")
        environment = {**os.environ, "COWSLIPSHIFT_SECRET": SECRET}
        self._processes[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            *arguments,
            stdout=log_file,
            stderr=log_file,
            env=environment,
        )
        log_file.close()

    async def _wait_http(self, url: str) -> None:
        async def is_answering() -> bool:
            try:
                async with self.session.get(url) as response:
                    await response.read()
            except (aiohttp.ClientError, OSError):
                return False
            return True

        await self.wait_until(is_answering)
