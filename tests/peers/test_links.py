"""Links between two hosts over a narrow path."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import pytest
from tests import pacedrelay

from cowslipshift import clock as clocks
from cowslipshift.inbound import connections as inbound
from cowslipshift.inbound import register
from cowslipshift.peers import messages
from cowslipshift.peers import network as networks
from cowslipshift.serving.backend import transport
from cowslipshift.standins import platformfleet
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

LINK_BYTES_PER_S = 5e6 / 8
DOCUMENT = bytes(range(256)) * 4096
IDLE_TIMEOUT_S = 0.8
HEARTBEAT_INTERVAL_S = 0.2


class Handler:
    """Keeps the documents that arrive, and counts closed links."""

    def __init__(self) -> None:
        self.documents: list[bytes] = []
        self.closed = 0

    def build_heartbeat(
        self, host: str, sequence: int, acknowledged_sequence: int
    ) -> messages.Message:
        return messages.ConfigurationRequest(0, "")

    def handle_message(
        self, host: str, message: messages.Message, sent_s: float | None
    ) -> None:
        if isinstance(message, messages.ConfigurationOffer):
            self.documents.append(message.document)

    def record_link_closed(self, host: str) -> None:
        self.closed += 1

    def __getattr__(self, name: str) -> Any:
        return lambda *_: None


class Host:
    """A host with a link to another one."""

    def __init__(self, name: str) -> None:
        self.handler = Handler()
        self.clock = clocks.SystemClock()
        self.sessions = transport.Sessions()
        self.network = networks.Network(
            name,
            "secret",
            self.clock,
            self.sessions.fresh,
            self.handler,
            lambda *_: None,
        )

    async def listen(self) -> str:
        application = web.Application()
        application.router.add_get("/peer/link", self.network.accept_link)
        self._runner = inbound.InboundRunner(
            application,
            register.ConnectionRegister(self.clock),
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        port = portreservations.reserve_ports(1)[0]
        await web.TCPSite(self._runner, "127.0.0.1", port).start()
        return f"127.0.0.1:{port}"

    async def close(self) -> None:
        await self.network.close()
        await self.sessions.close()


@pytest.fixture
async def hosts(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncIterator[tuple[Host, Host]]:
    monkeypatch.setattr(networks, "LINK_IDLE_TIMEOUT_S", IDLE_TIMEOUT_S)
    monkeypatch.setattr(networks, "HEARTBEAT_INTERVAL_S", HEARTBEAT_INTERVAL_S)
    dialling, listening = Host("a"), Host("b")
    relay = pacedrelay.PacedRelay(await listening.listen(), LINK_BYTES_PER_S)
    await relay.start()
    dialling.network.set_peers({"b": relay.address})
    await platformfleet.wait_until(lambda: listening.network.is_linked("a"))
    yield dialling, listening
    await dialling.close()
    await relay.close()
    await listening.close()


# Guards against hosts that close a link while a large configuration arrives on
# it, so that they never have it.
async def test_link_stays_open_while_a_large_message_arrives(hosts) -> None:
    dialling, listening = hosts
    listening.network.send("a", messages.ConfigurationOffer(2, b"", DOCUMENT))
    async with asyncio.timeout(6.0):
        while not dialling.handler.documents:
            await asyncio.sleep(0.05)
    assert dialling.handler.documents == [DOCUMENT]
    assert dialling.handler.closed == 0
