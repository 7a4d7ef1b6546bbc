"""TCP proxies between processes that can hold traffic back.

Connections stay open meanwhile, as in a network partition.
"""

from __future__ import annotations

import asyncio

ADDRESS = "127.0.0.1"
CHUNK_BYTES = 65_536


class NetworkPartition:
    """The pairs of processes that cannot reach each other."""

    def __init__(self, sources: dict[str, str]) -> None:
        self._names = {address: name for name, address in sources.items()}
        self._cut_pairs: set[frozenset[str]] = set()
        self._changed = asyncio.Event()

    def get_source_name(self, address: str) -> str:
        return self._names.get(address, address)

    def cut(self, first: str, second: str) -> None:
        self._cut_pairs.add(frozenset((first, second)))

    def heal(self) -> None:
        self._cut_pairs.clear()
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_open(self, first: str, second: str) -> None:
        """Wait while two processes are cut off from each other."""
        while frozenset((first, second)) in self._cut_pairs:
            await self._changed.wait()


class TcpProxy:
    """Forwards connections to one process.

    Args:
        partition: The pairs of processes that are cut off.
        name: The process behind the proxy.
        target: Its port.
    """

    def __init__(
        self, partition: NetworkPartition, name: str, target: int
    ) -> None:
        self._partition = partition
        self._name = name
        self._target = target
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ADDRESS, port)

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = self._partition.get_source_name(
            writer.get_extra_info("peername")[0]
        )
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await self._partition.wait_open(source, self._name)
            inner = await asyncio.open_connection(ADDRESS, self._target)
            await asyncio.gather(
                self._pipe(source, reader, inner[1]),
                self._pipe(source, inner[0], writer),
            )
        except (OSError, asyncio.CancelledError):
            writer.close()

    async def _pipe(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                await self._partition.wait_open(source, self._name)
                writer.write(chunk)
                await writer.drain()
        finally:
            writer.close()
