"""Links to other hosts: one task per peer and one per connection."""

from __future__ import annotations

import asyncio
import contextlib
from typing import cast
from typing import Protocol
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from cowslipshift import connections
from cowslipshift import transfers
from cowslipshift.inbound import connections as inbound
from cowslipshift.peers import credentials
from cowslipshift.peers import exceptions
from cowslipshift.peers import messages
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks

HEARTBEAT_INTERVAL_S = 1.0
LINK_IDLE_TIMEOUT_S = 3.0
"""Time without a byte after which a link is closed."""

DIAL_INTERVAL_S = 0.3
DIAL_TIMEOUT_S = 1.5
CLOSE_TIMEOUT_S = 0.5
DIAL_DEFERRAL_S = 1.0
"""How long the host with the greater name waits for the other to dial."""

HOST_HEADER = "X-Peer-Host"


class LinkHandler(Protocol):
    """Callbacks from the links to the host that owns them."""

    def build_heartbeat(
        self, host: str, sequence: int, acknowledged_sequence: int
    ) -> messages.Heartbeat:
        """Build the next heartbeat for a host."""

    def handle_message(
        self, host: str, message: messages.Message, sent_s: float | None
    ) -> None:
        """Handle a received message.

        Args:
            host: The sender.
            message: The message.
            sent_s: For a heartbeat, when the heartbeat that it acknowledges
                was sent, in monotonic seconds.
        """

    def record_connection_refused(self, host: str) -> None:
        """Record that a host's address refuses connections."""

    def record_connection_failure(self, host: str) -> None:
        """Record a connection attempt that failed without being refused.

        It does not show whether the host runs.
        """

    def record_link_closed(self, host: str) -> None:
        """Record that the link to a host is closed."""


class Connection(Protocol):
    """The transport of a link.

    Attributes:
        received_bytes: Bytes that have arrived.
    """

    received_bytes: int


class Link:
    """One open connection to another host.

    Args:
        host: The other host.
        socket: Carries the messages.
        connection: The transport below it.
        dialled_by: The host that opened the connection.
        network: The links of this host.
    """

    def __init__(
        self,
        host: str,
        socket: aiohttp.ClientWebSocketResponse | web.WebSocketResponse,
        connection: Connection,
        dialled_by: str,
        network: Network,
    ) -> None:
        self.host = host
        self.dialled_by = dialled_by
        self._socket = socket
        self._connection = connection
        self._network = network
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue(maxsize=1000)
        self._sequence = 0
        self._received_sequence = 0
        self._sent_s: dict[int, float] = {}
        self._received_s = network.clock.now()

    def send(self, message: messages.Message) -> bool:
        """Queue a message; return whether there was room."""
        try:
            self._outbox.put_nowait(messages.encode_message(message))
        except asyncio.QueueFull:
            return False
        return True

    def send_heartbeat(self) -> None:
        """Queue a heartbeat immediately."""
        now = self._network.clock.now()
        self._sequence += 1
        self._sent_s[self._sequence] = now
        self.send(
            self._network.handler.build_heartbeat(
                self.host, self._sequence, self._received_sequence
            )
        )

    async def run(self) -> None:
        """Serve the link until it closes or nothing arrives in time."""
        sender = asyncio.create_task(self._run_sender())
        heartbeats = asyncio.create_task(self._run_heartbeats())
        try:
            await self._run_receiver()
        finally:
            sender.cancel()
            heartbeats.cancel()
            await asyncio.gather(sender, heartbeats, return_exceptions=True)
            await self.close()

    async def close(self) -> None:
        """Close the connection; errors are ignored."""
        await _close_socket(self._socket)

    def abort(self) -> None:
        """Stop serving the link."""
        self._received_s = float("-inf")
        asyncio.ensure_future(_close_socket(self._socket))

    async def _run_sender(self) -> None:
        while True:
            raw = await self._outbox.get()
            self._network.count_bytes("out", len(raw))
            await self._socket.send_bytes(raw)

    async def _run_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _run_receiver(self) -> None:
        while (frame := await self._receive()) is not None:
            if frame.type is not aiohttp.WSMsgType.BINARY:
                return
            self._received_s = self._network.clock.now()
            self._network.count_bytes("in", len(frame.data))
            self._handle_message(messages.decode_message(frame.data))

    async def _receive(self) -> aiohttp.WSMessage | None:
        """Return the next message; ``None`` if none arrives in time.

        A large message over a narrow link has time for as long as it goes on
        arriving.
        """
        known_bytes = first_bytes = self._connection.received_bytes
        until_s = self._received_s + LINK_IDLE_TIMEOUT_S
        receiving = asyncio.ensure_future(self._socket.receive())
        try:
            while (now := self._network.clock.now()) < until_s:
                await asyncio.wait((receiving,), timeout=until_s - now)
                if receiving.done():
                    return receiving.result()
                arrived_bytes = self._connection.received_bytes
                if arrived_bytes == known_bytes:
                    return None
                known_bytes = arrived_bytes
                until_s = min(
                    self._network.clock.now() + LINK_IDLE_TIMEOUT_S,
                    self._received_s
                    + transfers.measure_limit(
                        LINK_IDLE_TIMEOUT_S, arrived_bytes - first_bytes
                    ),
                )
            return None
        finally:
            receiving.cancel()

    def _handle_message(self, message: messages.Message) -> None:
        sent_s = None
        if isinstance(message, messages.Heartbeat):
            self._received_sequence = message.sequence
            sent_s = self._sent_s.pop(message.acknowledged_sequence, None)
            for sequence in [
                s for s in self._sent_s if s < message.acknowledged_sequence
            ]:
                del self._sent_s[sequence]
        self._network.handler.handle_message(self.host, message, sent_s)


class Network:
    """The links of one host.

    Args:
        host: Name of this host.
        secret: The hosts' shared secret.
        clock: Source of the current time.
        session: HTTP session used to dial.
        handler: Receives the callbacks of the links.
        on_bytes: Called with the direction and size of each message.
    """

    def __init__(
        self,
        host: str,
        secret: str,
        clock: clocks.Clock,
        session: aiohttp.ClientSession,
        handler: LinkHandler,
        on_bytes: Callable[[str, int], None],
    ) -> None:
        self.host = host
        self.clock = clock
        self.handler = handler
        self.count_bytes = on_bytes
        self._secret = secret
        self._session = session
        self._log = logs.EventLog("network")
        self._links: dict[str, Link] = {}
        self._addresses: dict[str, str] = {}
        self._dialers: dict[str, asyncio.Task[None]] = {}

    def set_peers(self, addresses: dict[str, str]) -> None:
        """Set the hosts to which links are kept open.

        Args:
            addresses: Peer address by host; names that start with ``@``
                stand for hosts whose name is not known yet.
        """
        for name in self._dialers.keys() - addresses.keys():
            self._dialers.pop(name).cancel()
        self._addresses = dict(addresses)
        for name in addresses.keys() - self._dialers.keys():
            self._dialers[name] = asyncio.create_task(self._run_peer(name))

    def send(self, host: str, message: messages.Message) -> bool:
        """Send a message; return whether a link is open."""
        link = self._links.get(host)
        return link is not None and link.send(message)

    def broadcast(
        self, message: messages.Message, exclude: str | None = None
    ) -> None:
        """Send a message on all links but one."""
        for host, link in list(self._links.items()):
            if host != exclude:
                link.send(message)

    def send_heartbeat(self, host: str) -> None:
        """Send an extra heartbeat, between the regular ones."""
        link = self._links.get(host)
        if link is not None:
            link.send_heartbeat()

    def is_linked(self, host: str) -> bool:
        """Tell whether a link to a host is open."""
        return host in self._links

    def list_linked(self) -> list[str]:
        """Return the hosts with an open link."""
        return sorted(self._links)

    async def close(self) -> None:
        """Close all links."""
        tasks = list(self._dialers.values())
        for task in tasks:
            task.cancel()
        for link in list(self._links.values()):
            link.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def accept_link(self, request: web.Request) -> web.StreamResponse:
        """Serve a link that another host dialled."""
        try:
            name = credentials.check_credential(
                self._secret,
                request.headers.get(credentials.HEADER, ""),
                self.clock.wall(),
            )
        except exceptions.PeerAuthenticationError as error:
            self._log.warn(
                "peer_refused", address=request.remote, reason=error
            )
            return web.Response(status=401, text=str(error))
        socket = web.WebSocketResponse(
            max_msg_size=messages.MAX_MESSAGE_BYTES, compress=False
        )
        socket.headers[HOST_HEADER] = self.host
        try:
            await socket.prepare(request)
        except ConnectionError:
            return socket
        protocol = cast(inbound.InboundConnection, request.protocol)
        await self._run_link(Link(name, socket, protocol, name, self))
        return socket

    async def _run_peer(self, name: str) -> None:
        while True:
            if name not in self._links and not name.startswith("@"):
                if name < self.host:
                    await asyncio.sleep(DIAL_DEFERRAL_S)
                if name not in self._links:
                    await self._dial(name)
            elif name.startswith("@"):
                await self._dial(name)
                if self._links:
                    await asyncio.sleep(LINK_IDLE_TIMEOUT_S)
            await asyncio.sleep(DIAL_INTERVAL_S)

    async def _dial(self, name: str) -> None:
        address = self._addresses[name]
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                socket = await self._session.ws_connect(
                    f"http://{address}/peer/link",
                    headers={
                        credentials.HEADER: credentials.sign_credential(
                            self._secret, self.host, self.clock.wall()
                        )
                    },
                    max_msg_size=messages.MAX_MESSAGE_BYTES,
                )
        except aiohttp.ClientConnectorError as error:
            if isinstance(error.os_error, ConnectionRefusedError):
                self.handler.record_connection_refused(name)
            else:
                self.handler.record_connection_failure(name)
            return
        except (aiohttp.ClientError, OSError, TimeoutError):
            self.handler.record_connection_failure(name)
            return
        peer = socket._response.headers.get(HOST_HEADER, name)
        if peer == self.host or (name.startswith("@") and peer in self._links):
            await _close_socket(socket)
            return
        assert socket._conn is not None
        protocol = cast(connections.GuardedConnection, socket._conn.protocol)
        await self._run_link(Link(peer, socket, protocol, self.host, self))

    async def _run_link(self, link: Link) -> None:
        existing = self._links.get(link.host)
        if existing is not None:
            smaller = min(self.host, link.host)
            if existing.dialled_by == smaller != link.dialled_by:
                await link.close()
                return
            existing.abort()
        self._links[link.host] = link
        self._log.info("linked", peer=link.host, dialled_by=link.dialled_by)
        try:
            await link.run()
        except exceptions.PeerMessageError as error:
            self._log.warn("peer_message", peer=link.host, reason=error)
        except (aiohttp.ClientError, ConnectionError):
            pass
        finally:
            if self._links.get(link.host) is link:
                del self._links[link.host]
                self._log.info("unlinked", peer=link.host)
                self.handler.record_link_closed(link.host)


async def _close_socket(
    socket: aiohttp.ClientWebSocketResponse | web.WebSocketResponse,
) -> None:
    with contextlib.suppress(Exception):
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await socket.close()
