"""A small deployment on a platform, within one event loop."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web
import msgspec
import yarl

from cowslipshift import clock as clocks
from cowslipshift.edge import service as edge_service
from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.standins import platformbackend
from cowslipshift.standins import platformduties
from cowslipshift.standins import platformstore
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from collections.abc import Callable

HOSTNAME = "tills.example"
API_KEY = "key-of-workshop"
ACCOUNT = "workshop"
READ_PATH = "/sheets/"
WRITE_PATH = "/orders/"
READ_SERVICE = "sheets"
WRITE_SERVICE = "orders"
REGIONS_BY_DATA_CENTRE = {"north-a": "north", "south-a": "south"}
POLL_INTERVAL_S = 0.02
WAIT_TIMEOUT_S = 10.0
CLOSE_TIMEOUT_S = 0.1


def build_config(version: int = 1, **changes: Any) -> bytes:
    """Return a configuration in the JSON form that operators write.

    Args:
        version: Version of the configuration.
        **changes: Top-level fields that replace the default ones.
    """
    path_defaults = {
        "priority": 1,
        "attempts": 2,
        "public": False,
        "session_affinity": True,
        "allowed_regions": [],
        "target_latency_ms": 300,
        "timeout_ms": 800,
    }
    config: dict[str, Any] = {
        "version": f"{version:08x}",
        "base_version": "00000000",
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 100,
                "cold_start_s": 1.0,
                "cold_per_s": 4.0,
            }
            for name in (READ_SERVICE, WRITE_SERVICE)
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": ACCOUNT,
                "api_keys": [API_KEY],
                "priority": 1,
                "rate_per_s": 1000,
                "burst": 1000,
                "allowed_regions": [],
            }
        ],
        "virtual_hosts": [
            {
                "hostname": HOSTNAME,
                "paths": [
                    {
                        "name": "read",
                        "prefix": READ_PATH,
                        "type": "idempotent",
                        "service": READ_SERVICE,
                        **path_defaults,
                    },
                    {
                        "name": "write",
                        "prefix": WRITE_PATH,
                        "type": "non_idempotent",
                        "service": WRITE_SERVICE,
                        **path_defaults,
                    },
                ],
            }
        ],
    }
    return msgspec.json.encode({**config, **changes})


class _BackendListener:
    """Passes requests on to the server that has started last at an address."""

    backend: platformbackend.PlatformBackendStandIn

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Let the server answer."""
        return await self.backend.handle(request)


class PlatformFleet:
    """Store, backend servers and hosts of one deployment.

    Args:
        hosts: Number of hosts in each data centre.
        backends: Number of backend servers of each service in each data
            centre.
    """

    def __init__(self, hosts: int = 1, backends: int = 2) -> None:
        self._clock = clocks.SystemClock()
        self.store = platformstore.PlatformStoreStandIn(self._clock)
        self.duties = platformduties.PlatformDutiesStandIn()
        self.backends: dict[str, platformbackend.PlatformBackendStandIn] = {}
        self.hosts: list[edge_service.EdgeService] = []
        self.backend_addresses: dict[str, str] = {}
        self.backend_locations: dict[str, tuple[str, str]] = {}
        self._listeners: dict[str, _BackendListener] = {}
        self._counts = (hosts, backends)
        self._runners: list[web.AppRunner] = []
        self._ports: list[int] = []
        self._host_numbers = itertools.count(1)
        self._lease_task: asyncio.Task[None] | None = None
        self.session = aiohttp.ClientSession()

    async def __aenter__(self) -> PlatformFleet:
        """Start all components and wait until the hosts are ready."""
        self._lease_task = asyncio.create_task(self.store.run_leases())
        hosts, backends = self._counts
        self.store.put(names.CONFIG_KEY, build_config())
        for data_centre in REGIONS_BY_DATA_CENTRE:
            for service in (READ_SERVICE, WRITE_SERVICE):
                for _ in range(backends):
                    await self.add_backend(service, data_centre)
            for _ in range(hosts):
                await self.add_host(data_centre)
        await self.wait_ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all components and release all ports."""
        for host in list(self.hosts):
            await self.kill_host(host)
        if self._lease_task is not None:
            self._lease_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._lease_task
        await self.session.close()
        for runner in self._runners:
            await runner.cleanup()
        portreservations.release_ports(self._ports)
        self._ports.clear()

    def reserve_ports(self, count: int, consecutive: int = 1) -> list[int]:
        """Reserve ports until this fleet closes.

        Args:
            count: Number of ports.
            consecutive: How many of them, the first ones, follow each other.
        """
        ports = portreservations.reserve_ports(count, consecutive)
        self._ports += ports
        return ports

    async def add_backend(
        self, service: str, data_centre: str, version: str = "v1"
    ) -> platformbackend.PlatformBackendStandIn:
        """Start a backend server and register it in the store."""
        listener = _BackendListener()
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", listener.handle)
        address = await self._serve(application)
        self._listeners[address] = listener
        return self._register(address, service, data_centre, version)

    def restart_backend(
        self, identity: str
    ) -> platformbackend.PlatformBackendStandIn:
        """Start a backend server again at its address, under another id.

        Its connections and its earlier entry in the store remain.
        """
        backend = self._register(
            self.backend_addresses[identity], *self.backend_locations[identity]
        )
        backend.behaviour = self.backends[identity].behaviour
        return backend

    def _register(
        self, address: str, service: str, data_centre: str, version: str = "v1"
    ) -> platformbackend.PlatformBackendStandIn:
        identity = f"{service}-{len(self.backends) + 1}"
        backend = platformbackend.PlatformBackendStandIn(identity, slots=3)
        self.backends[identity] = backend
        self.backend_addresses[identity] = address
        self.backend_locations[identity] = (service, data_centre)
        self._listeners[address].backend = backend
        self.store.put(
            names.BACKEND_PREFIX + identity,
            backend.build_entry(address, service, data_centre, version),
        )
        return backend

    async def open_store_port(self) -> str:
        """Serve the store on another port and return the address."""
        return await self._serve(self.store.build_application())

    async def open_duties_port(self) -> str:
        """Serve the calls of duties and return the address."""
        return await self._serve(self.duties.build_application())

    def update_backend_state(
        self, identity: str, state: str, version: str = "v1"
    ) -> None:
        """Write an entry with another state for a backend server."""
        self.store.put(
            names.BACKEND_PREFIX + identity,
            self.build_next_entry(identity, state, version),
        )

    def build_next_entry(
        self, identity: str, state: str, version: str = "v1"
    ) -> bytes:
        """Return a backend server's next entry without writing it."""
        service, data_centre = self.backend_locations[identity]
        return self.backends[identity].build_entry(
            self.backend_addresses[identity],
            service,
            data_centre,
            version,
            state,
        )

    async def add_host(
        self, data_centre: str, name: str | None = None
    ) -> edge_service.EdgeService:
        """Start a host that uses a port of the store of its own.

        Args:
            data_centre: Where it runs.
            name: Its name; one that no other host has had by default.
        """
        store_address = await self.open_store_port()
        ports = self.reserve_ports(5, consecutive=2)
        settings = platform_settings.HostSettings(
            node_name=name or f"host-{next(self._host_numbers)}",
            ip="127.0.0.1",
            zone=data_centre,
            region=REGIONS_BY_DATA_CENTRE[data_centre],
            internal_ports=(ports[0], ports[0]),
            zones=REGIONS_BY_DATA_CENTRE,
            listen=platform_settings.ListenAddresses(
                *(f"127.0.0.1:{port}" for port in ports[2:])
            ),
            platform=platform_settings.StoreAddress(store_address),
            bootstrap=True,
        )
        host = edge_service.EdgeService(
            settings=settings,
            bounds=platform_settings.Bounds(grace_s=2.0),
        )
        await host.start()
        self.hosts.append(host)
        return host

    def refuse_store_calls(self, host: edge_service.EdgeService) -> None:
        """Make the store refuse the calls of one host only."""
        port = int(host.settings.platform.address.rpartition(":")[2])
        self.store.faults.refused_ports = (port,)

    async def kill_host(self, host: edge_service.EdgeService) -> None:
        """Abort a host without letting it announce its departure."""
        self.hosts.remove(host)
        await host.abort()

    async def stop_host(self, host: edge_service.EdgeService) -> None:
        """Stop a host gracefully."""
        self.hosts.remove(host)
        await host.stop()

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready and know each other."""
        await wait_until(
            lambda: all(
                host.is_settled(len(self.hosts)) for host in self.hosts
            )
        )

    async def send_request(
        self,
        path: str = READ_PATH + "1",
        host: int = 0,
        public_address: str = "",
        request_id: str = "r1",
        method: str = "GET",
        api_key: str = API_KEY,
        affinity_key: str = "7",
        deadline_ms: int = 2000,
        body: bytes | None = None,
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request as a client does.

        Args:
            path: Path, sent as it is.
            host: Index of the host to send to.
            public_address: Address to send to instead of that host's.
            request_id: Id of the request.
            method: HTTP method.
            api_key: API key of the client account.
            affinity_key: Affinity key, sent as a cookie.
            deadline_ms: Time limit sent along.
            body: Body; none by default.

        Returns:
            Status, body and headers of the answer.
        """
        public_address = (
            public_address or self.hosts[host].settings.listen.front
        )
        async with self.session.request(
            method,
            yarl.URL(f"http://{public_address}{path}", encoded=True),
            headers={
                "Host": HOSTNAME,
                names.REQUEST_ID_HEADER: request_id,
                names.DEADLINE_MS_HEADER: str(deadline_ms),
                names.API_KEY_HEADER: api_key,
                "Cookie": f"{names.AFFINITY_COOKIE}={affinity_key}",
            },
            data=body,
        ) as response:
            content = await response.read()
            return response.status, content, dict(response.headers)

    def list_records(
        self, request_id: str
    ) -> list[platformbackend.RequestRecord]:
        """Return the records of a request at all backend servers."""
        return [
            record
            for backend in self.backends.values()
            for record in backend.records
            if record.id == request_id
        ]

    async def _serve(self, application: web.Application) -> str:
        runner = web.AppRunner(
            application,
            auto_decompress=False,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=CLOSE_TIMEOUT_S,
        )
        await runner.setup()
        self._runners.append(runner)
        port = self.reserve_ports(1)[0]
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold within ten seconds.
    """
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_INTERVAL_S)
