"""A small deployment for review cases: real hosts, stand-ins for the rest.

The hosts are processes started with the command of the deploy file. The
store is the project's stand-in; backend servers and clients are below. All
addresses are loopback ones.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
for folder in (ROOT / "target" / "deps", ROOT / "src"):
    sys.path.insert(0, str(folder))

from aiohttp import web  # noqa: E402

from cowslipshift import clock as clocks  # noqa: E402
from cowslipshift.standins import platformstore  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOSTNAME = "front.example"
API_KEY = "key-of-review"
TENANT = "review"
ZONES = {
    "north-a": "north",
    "north-b": "north",
    "south-a": "south",
    "south-b": "south",
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "places",
    "tenants",
    "quota",
    "rollout",
    "platform",
)
BOUNDS = (
    "seed_lag_s=3",
    "reuse_after_s=2",
    "contact_ms=3000",
    "ack_ms=4000",
    "catch_up_s=4",
    "drain_ms=2000",
    "grace_s=6",
    "lost_slack_ms=200",
    "config_apply_ms=2000",
    "revert_slack_ms=250",
    "max_stretch_ms=5000",
    "retry_budget=0.2",
    "budget_window_s=10",
    "budget_slack=60",
    "quota_window_s=5",
    "quota_overshoot=0.1",
    "quota_slack=20",
    "evacuate_ms=5000",
    "recovery_s=15",
    "ttl_max_s=5",
    "max_shift=0.15",
)
READY_TIMEOUT_S = 20.0


def has_trouble() -> bool:
    """Tell whether the case brings about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line."""
        passed_s = time.monotonic() - self._started_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


def find_ports(addresses: list[str], count: int) -> int:
    """Return the first of free ports that follow each other everywhere."""
    for first in range(20_000 + os.getpid() % 5_000, 32_000, count):
        if all(
            _is_free(address, port)
            for address in addresses
            for port in range(first, first + count)
        ):
            return first
    raise CannotRun("no free ports")


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True


def merge_bounds(changes: tuple[str, ...]) -> list[str]:
    """Return the bounds of the settings, some of them changed."""
    names = {bound.partition("=")[0] for bound in changes}
    kept = [b for b in BOUNDS if b.partition("=")[0] not in names]
    return [*kept, *changes]


class Link:
    """A machine's link towards the store, of limited bandwidth.

    Connections are passed on; what comes from the store is paced.
    """

    def __init__(self, target: str, mbps: float) -> None:
        self.address = ""
        self._target = target
        self._bytes_per_s = mbps * 1e6 / 8
        self._free_s = 0.0
        self._server: asyncio.Server | None = None

    async def start(self, ip: str) -> None:
        """Listen at a machine's address."""
        self._server = await asyncio.start_server(self._pass_on, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        back = asyncio.create_task(self._copy(far_reader, writer, True))
        try:
            await self._copy(reader, far_writer, False)
            await back
        except OSError:
            pass
        finally:
            back.cancel()
            far_writer.close()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_paced: bool,
    ) -> None:
        while data := await reader.read(8192):
            if is_paced:
                now = time.monotonic()
                self._free_s = max(self._free_s, now)
                self._free_s += len(data) / self._bytes_per_s
                await asyncio.sleep(self._free_s - now)
            writer.write(data)
            await writer.drain()
        if is_paced:
            writer.close()
        elif writer.can_write_eof():
            writer.write_eof()


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.items = platformstore.PlatformStoreStandIn(clocks.SystemClock())
        self.address = ""
        self._runner: web.AppRunner | None = None
        self._leases: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen."""
        self._runner = web.AppRunner(
            self.items.build_application(),
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = self._runner.addresses[0][1]
        self.address = f"127.0.0.1:{port}"
        self._leases = asyncio.create_task(self.items.run_leases())

    async def stop(self) -> None:
        """End."""
        if self._leases is not None:
            self._leases.cancel()
        if self._runner is not None:
            await self._runner.cleanup()


class Message:
    """A request or an answer as it was read."""

    def __init__(self, start: str, headers: list[tuple[str, str]]) -> None:
        self.start = start
        self.headers = headers
        self.body = b""

    def get(self, name: str) -> str:
        """Return a header, or an empty text."""
        for known, value in self.headers:
            if known.lower() == name.lower():
                return value
        return ""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    return Message(start, [(n, v.strip()) for n, _, v in pairs])


async def read_body(
    reader: asyncio.StreamReader, message: Message, pace: float = 0.0
) -> None:
    """Read the body of a message, at a number of bytes a second if given."""
    if message.get("Transfer-Encoding").lower() == "chunked":
        parts = []
        while True:
            size = int(await reader.readline(), 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                message.body = b"".join(parts)
                return
    left = int(message.get("Content-Length") or 0)
    parts = []
    while left:
        part = await reader.read(min(left, 65_536))
        if not part:
            raise asyncio.IncompleteReadError(b"".join(parts), left)
        parts.append(part)
        left -= len(part)
        if pace:
            await asyncio.sleep(len(part) / pace)
    message.body = b"".join(parts)


class Server:
    """A sound backend server: runs a request and signs its answer.

    Attributes:
        ran: Request line, request id and size of the body of each request
            that it began to work on.
    """

    def __init__(
        self,
        record: Record,
        identity: str,
        service: str,
        zone: str,
        answer_bytes: int = 100,
        work_s: float = 0.02,
        slots: int = 50,
    ) -> None:
        self.record = record
        self.identity = identity
        self.service = service
        self.zone = zone
        self.answer_bytes = answer_bytes
        self.work_s = work_s
        self.slots = slots
        self.address = ""
        self.ran: list[tuple[str, str, int]] = []
        self._running = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def build_entry(self, sequence: int = 1) -> bytes:
        """Return the entry with which it registers itself."""
        return json.dumps(
            {
                "address": self.address,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "concurrency": self.slots,
                },
                "status": {
                    "state": "ready",
                    "seq": sequence,
                    "cold_remaining_ms": 0,
                },
                "born": 1_700_000_000_000,
            }
        ).encode()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_head(reader)) is not None:
                await self._answer(reader, writer, message)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        message: Message,
    ) -> None:
        await read_body(reader, message)
        request_id = message.get("Cowslipshift-Request-Id")
        head = [f"Cowslipshift-Request-Id: {request_id}"]
        if message.get("Cowslipshift-Target-Instance") != self.identity:
            status, body = "421 Misdirected Request", b""
        else:
            self.ran.append((message.start, request_id, len(message.body)))
            self.record.note(
                f"ran {request_id} at {self.identity}: {message.start!r}, "
                f"{len(message.body)} bytes"
            )
            self._running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
            status, body = "200 OK", b"x" * self.answer_bytes
            head.append(f"Cowslipshift-Response-Signature: s.{request_id}")
            head.append(
                f"Cowslipshift-Server-Load: {self._running},0,{self.slots}"
            )
        head.append(f"Content-Length: {len(body)}")
        head.append("Keep-Alive: timeout=10")
        writer.write(
            f"HTTP/1.1 {status}\r\n".encode()
            + "\r\n".join(head).encode()
            + b"\r\n\r\n"
            + body
        )
        await writer.drain()


class Host:
    """One machine of the system: a process of the deploy file's command."""

    def __init__(
        self, record: Record, folder: pathlib.Path, number: int, zone: str
    ) -> None:
        self.name = f"edge-{zone}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.zone = zone
        self.folder = folder
        self.front = self.ready = ""
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._settings = folder / f"{self.name}.toml"

    def write_settings(
        self,
        first_port: int,
        store: str,
        bootstrap: bool = True,
        link_mbps: float = 1000.0,
        bounds: tuple[str, ...] = (),
    ) -> None:
        """Write the settings file as the platform does.

        Args:
            first_port: First of the ports, the same on all machines.
            store: Address of the store.
            bootstrap: Whether the whole system starts for the first time.
            link_mbps: Bandwidth of the machine's link.
            bounds: Bounds that differ from the usual ones.
        """
        region = ZONES[self.zone]
        self.front = f"{self.ip}:{first_port}"
        self.ready = f"{self.ip}:{first_port + 1}"
        zones = "\n".join(f'{z} = "{r}"' for z, r in ZONES.items())
        self._settings.write_text(
            f'''node_name = "{self.name}"
role = "steering"
machine_class = "edge"
serves = ["edge","directory"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "{region}"
internal_ports = [{first_port + 4},{first_port + 9}]
seeds = ["{self.ip}:{first_port + 2}"]
bootstrap = {str(bootstrap).lower()}
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1500
contracts = {json.dumps(CONTRACTS)}
bounds = {json.dumps(merge_bounds(bounds))}
[zones]
{zones}
[listen]
front = "{self.front}"
ready = "{self.ready}"
control = "{self.ip}:{first_port + 2}"
directory = "{self.ip}:{first_port + 3}"
[limits]
cpu_share = 0.86
cores = 1
memory_mb = 300
max_fds = 4100
link_mbps = {link_mbps}
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 1
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
'''
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["steering"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["COWSLIPSHIFT_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.note(f"started {self.name}, pid {self.process.pid}")

    @property
    def has_ended(self) -> bool:
        """Whether its process has ended."""
        return self.process is None or self.process.returncode is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal, unless it has ended."""
        if self.process is not None and not self.has_ended:
            self._record.note(f"sent {number.name} to {self.name}")
            self.process.send_signal(number)

    async def check_ready(self) -> bool:
        """Ask as the platform does whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                answer = await send(
                    self.ready, "GET", "/cowslipshift/ready", {}
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer.start.split()[1] == "200"

    async def wait_ready(self) -> None:
        """Wait until it is ready."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.check_ready():
            if self.has_ended or time.monotonic() > until_s:
                raise CannotRun(f"{self.name} did not get ready")
            await asyncio.sleep(0.1)
        self._record.note(f"{self.name} is ready")

    def measure_memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None or self.has_ended:
            return 0.0
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        try:
            for line in path.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024.0
        except OSError:
            pass
        return 0.0


def build_config(version: int, routes: list[dict], **changes: object) -> bytes:
    """Return a configuration as the operator writes it.

    Args:
        version: Its version.
        routes: Fields of each route; the others are as below.
        changes: Top-level fields that replace those below.
    """
    defaults = {
        "priority": 1,
        "attempts": 2,
        "public": False,
        "session_affinity": True,
        "allowed_regions": [],
        "target_latency_ms": 1000,
        "timeout_ms": 4000,
    }
    paths = [{**defaults, **route} for route in routes]
    services = sorted({path["service"] for path in paths})
    return json.dumps(
        {
            "version": f"{version:08x}",
            "base_version": f"{version - 1:08x}",
            "services": [
                {
                    "name": name,
                    "health_path": "/health",
                    "max_connections": 360,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 3.0,
                    "cold_per_s": 4.5,
                }
                for name in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": [
                {
                    "name": TENANT,
                    "api_keys": [API_KEY],
                    "priority": 1,
                    "rate_per_s": 0,
                    "burst": 0,
                    "allowed_regions": [],
                }
            ],
            "virtual_hosts": [{"hostname": HOSTNAME, "paths": paths}],
            **changes,
        }
    ).encode()


class Deployment:
    """Store, backend servers and hosts."""

    def __init__(
        self,
        record: Record,
        hosts: int,
        servers: list[Server],
        zones: tuple[str, ...] = tuple(ZONES),
    ) -> None:
        self.record = record
        self.store = Store()
        self.servers = servers
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.hosts = [
            Host(record, self.folder, n, zones[n % len(zones)])
            for n in range(hosts)
        ]
        self.first_port = 0

    async def start(self, routes: list[dict]) -> None:
        """Start store and servers, and write the settings of the hosts."""
        await self.store.start()
        self.store.items.put("op/config", build_config(1, routes))
        for server in self.servers:
            await server.start()
            self.store.items.put(
                f"servers/{server.identity}", server.build_entry()
            )
        self.first_port = find_ports([h.ip for h in self.hosts], 10)
        for host in self.hosts:
            host.write_settings(self.first_port, self.store.address)

    async def start_hosts(self) -> None:
        """Start all hosts and wait until they are ready."""
        for host in self.hosts:
            await host.start()
        for host in self.hosts:
            await host.wait_ready()

    async def stop(self) -> None:
        """End all processes and listeners that were started."""
        for host in self.hosts:
            if not host.has_ended:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        for server in self.servers:
            server.stop()
        await self.store.stop()


class Client:
    """A client with one kept connection to one host."""

    def __init__(self, front: str) -> None:
        self._front = front
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, receive_bytes: int = 0) -> None:
        """Open the connection.

        Args:
            receive_bytes: Size of the receive buffer; 0 for the usual one.
        """
        host, port = self._front.rsplit(":", 1)
        connection = socket.socket()
        connection.setblocking(False)
        if receive_bytes:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        await asyncio.get_running_loop().sock_connect(
            connection, (host, int(port))
        )
        self._reader, self._writer = await asyncio.open_connection(
            sock=connection, limit=65_536
        )

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        body_pace: float = 0.0,
        answer_pace: float = 0.0,
    ) -> Message:
        """Send a request and read the whole answer.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers besides ``Host`` and the length.
            body: The body.
            body_pace: Bytes a second at which it is sent; 0 for no limit.
            answer_pace: Bytes a second at which the answer is read.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOSTNAME}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for start in range(0, len(body), 65_536):
            part = body[start : start + 65_536]
            self._writer.write(part)
            await self._writer.drain()
            if body_pace:
                await asyncio.sleep(len(part) / body_pace)
        answer = await read_head(self._reader)
        if answer is None:
            raise asyncio.IncompleteReadError(b"", 1)
        await read_body(self._reader, answer, answer_pace)
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()


def build_headers(
    request_id: str, deadline_ms: int, thing: str = ""
) -> dict[str, str]:
    """Return the headers of a client's request."""
    headers = {
        "Cowslipshift-Request-Id": request_id,
        "Cowslipshift-Deadline-Ms": str(deadline_ms),
        "Api-Key": API_KEY,
    }
    if thing:
        headers["Cookie"] = f"Cowslipshift-Affinity-Key={thing}"
    return headers


async def send(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
) -> Message:
    """Send a request on a connection of its own."""
    client = Client(address)
    await client.open()
    try:
        return await client.send(method, target, headers, body)
    finally:
        client.close()


def run(case: object, folder: pathlib.Path) -> None:
    """Run a case, a function of its record that returns the exit status."""
    # Hosts are started with the usual action of the signal, also where this
    # process was started by `nohup`.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record = Record(folder)
    record.note(f"trouble: {has_trouble()}")
    try:
        status = asyncio.run(_limit(case, record))
    except (CannotRun, TimeoutError, OSError) as error:
        record.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    text = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status]
    record.note(f"the rule: {text}")
    print(f"the rule: {text}")
    sys.exit(status)


async def _limit(case: object, record: Record) -> int:
    async with asyncio.timeout(110.0):
        return await case(record)
