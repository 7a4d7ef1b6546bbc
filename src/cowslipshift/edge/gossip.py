"""UDP endpoint on which hosts exchange heartbeats."""

from __future__ import annotations

import asyncio
from typing import cast
from typing import TYPE_CHECKING

from cowslipshift import addresses as addressing
from cowslipshift.edge import exceptions
from cowslipshift.edge import messages
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

MAX_DATAGRAM_BYTES = 8000


class GossipSocket(asyncio.DatagramProtocol):
    """Sends and receives bundles of heartbeats.

    A datagram has no connection that could go silent, and each heartbeat
    replaces the one before it, so a lost datagram does no harm.

    Args:
        name: Name of this host, the sender of its bundles.
        on_bundle: Called with each bundle that arrives.
        on_bytes: Called with the direction (``in`` or ``out``) and the size
            of each datagram.
    """

    def __init__(
        self,
        name: str,
        on_bundle: Callable[[messages.Bundle], None],
        on_bytes: Callable[[str, int], None],
    ) -> None:
        self._name = name
        self._on_bundle = on_bundle
        self._on_bytes = on_bytes
        self._transport: asyncio.DatagramTransport | None = None
        self._log = logs.EventLog("gossip")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transport does not derive from asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Decode a bundle and hand it over; log one that is malformed."""
        self._on_bytes("in", len(data))
        try:
            bundle = messages.decode_bundle(data)
        except exceptions.PeerError as error:
            self._log.warn("bundle_malformed", peer=addr[0], reason=error)
            return
        try:
            self._on_bundle(bundle)
        except Exception as error:
            self._log.error(
                "bundle_failed", peer=addr[0], **logs.describe_error(error)
            )

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram could not be delivered."""
        self._log.debug("bundle_undelivered", reason=exc)

    def send(
        self,
        heartbeats: list[messages.EncodedHeartbeat],
        addresses: list[str],
    ) -> None:
        """Send heartbeats to each address, in as few datagrams as fit.

        Args:
            heartbeats: What to send.
            addresses: Receivers, as ``ip:port``.
        """
        if self._transport is None or not addresses:
            return
        for part in _split(heartbeats):
            raw = messages.encode_bundle(messages.Bundle(self._name, part))
            for address in addresses:
                self._on_bytes("out", len(raw))
                self._transport.sendto(raw, addressing.split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def _split(
    heartbeats: list[messages.EncodedHeartbeat],
) -> Iterator[list[messages.EncodedHeartbeat]]:
    """Split heartbeats into parts that fit into one datagram each."""
    part: list[messages.EncodedHeartbeat] = []
    size = 0
    for heartbeat in heartbeats:
        if part and size + len(heartbeat.raw) > MAX_DATAGRAM_BYTES:
            yield part
            part, size = [], 0
        part.append(heartbeat)
        size += len(heartbeat.raw)
    if part:
        yield part
