"""A TCP relay whose open connections can go silent while new ones work."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from cowslipshift import addresses

if TYPE_CHECKING:
    from collections.abc import Callable

CHUNK_BYTES = 65_536


class SilentRelay:
    """Forwards connections to one address.

    Args:
        target: ``ip:port`` to forward to.
    """

    def __init__(self, target: str) -> None:
        self.address = ""
        self.connections = 0
        self._target = target
        self._silenced = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._relay, "127.0.0.1", 0, limit=CHUNK_BYTES
        )
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    def silence(self) -> None:
        """Forward nothing more on the connections that are open now."""
        self._silenced = self.connections

    async def close(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        far_reader, far_writer = await asyncio.open_connection(
            *addresses.split_address(self._target)
        )

        def is_silent() -> bool:
            return number <= self._silenced

        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(_forward(source, sink, is_silent))
            self._tasks.add(task)


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    is_silent: Callable[[], bool],
) -> None:
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            if not is_silent():
                writer.write(chunk)
        if is_silent():
            await asyncio.Event().wait()
    except OSError:
        pass
    finally:
        with contextlib.suppress(OSError):
            writer.close()
