"""Words between hosts, one datagram each."""

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

MAX_DATAGRAM_BYTES = 8000


class Gossip(asyncio.DatagramProtocol):
    """Sends words to other hosts and hands over what arrives.

    A datagram has no connection that could go silent, and each word
    replaces the one before it, so a lost one does no harm.

    Args:
        on_word: Told of each word.
        on_bytes: Told direction and size of each datagram.
    """

    def __init__(
        self,
        on_word: Callable[[messages.Word], None],
        on_bytes: Callable[[str, int], None],
    ) -> None:
        self._on_word = on_word
        self._on_bytes = on_bytes
        self._transport: asyncio.DatagramTransport | None = None
        self._log = logs.EventLog("gossip")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        # uvloop's transport does not derive from asyncio's.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(
        self, data: bytes, addr: tuple[str | object, int]
    ) -> None:
        """Read a word."""
        self._on_bytes("in", len(data))
        try:
            word = messages.decode_word(data)
        except exceptions.PeerError as error:
            self._log.warn("word_malformed", peer=addr[0], reason=error)
            return
        self._on_word(word)

    def error_received(self, exc: Exception) -> None:
        """Note that a datagram could not be delivered."""
        self._log.debug("word_undelivered", reason=exc)

    def send(self, word: messages.Word, addresses: list[str]) -> None:
        """Send a word to each of these addresses, ``ip:port``."""
        if self._transport is None:
            return
        raw = messages.encode_word(word)
        if len(raw) > MAX_DATAGRAM_BYTES:
            self._log.warn("word_too_large", bytes=len(raw))
            return
        for address in addresses:
            self._on_bytes("out", len(raw))
            self._transport.sendto(raw, addressing.split_address(address))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
