"""Forwards connections over a link of limited bandwidth."""

from __future__ import annotations

import asyncio

from cowslipshift.standins import portreservations

READ_BYTES = 8192


class PacedRelay:
    """Relays connections and limits the rate of what comes back.

    Args:
        target: ``ip:port`` of the server behind it.
        bytes_per_s: Rate of all connections together.

    Attributes:
        address: ``ip:port`` to connect to.
    """

    def __init__(self, target: str, bytes_per_s: float) -> None:
        self.address = ""
        self._target = target
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        port = portreservations.reserve_ports(1)[0]
        self._server = await asyncio.start_server(
            self._relay, "127.0.0.1", port
        )
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.split(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        upload = asyncio.ensure_future(self._copy(reader, far_writer))
        try:
            await self._copy(far_reader, writer, is_paced=True)
        except OSError:
            pass
        finally:
            upload.cancel()
            far_writer.close()
            writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_paced: bool = False,
    ) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(READ_BYTES):
            if is_paced:
                now = loop.time()
                self._free_s = max(self._free_s, now)
                self._free_s += len(data) / self._bytes_per_s
                await asyncio.sleep(self._free_s - now)
            writer.write(data)
            await writer.drain()
