"""Hosts that run as separate processes and log to files."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.standins import platformfleet

SETTINGS = """\
node_name = "{name}"
ip = "127.0.0.1"
zone = "{centre}"
region = "{region}"
internal_ports = [{port}, {port}]
bootstrap = true
later_field = "ignored"
bounds = ["grace_s=2.0", "quota_window_s=5", "unknown_bound=1"{bounds}]
[zones]
north-a = "north"
south-a = "south"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
[platform]
address = "{store}"
{tables}
"""


class Daemon:
    """One host process.

    Attributes:
        bounds: More entries of the bounds, each with a comma before it.
        tables: More tables of the settings.
        program: Arguments of the interpreter that run the host.
    """

    def __init__(self, fleet: platformfleet.PlatformFleet) -> None:
        self.fleet = fleet
        self.front = ""
        self.bounds = self.tables = ""
        self.program = ("-m", "cowslipshift.edge.main")
        self.log = pathlib.Path()
        self.process: asyncio.subprocess.Process | None = None

    async def start(
        self,
        folder: pathlib.Path,
        name: str,
        centre: str,
        more_settings: str = "",
    ) -> None:
        ports = self.fleet.reserve_ports(5, consecutive=2)
        store = await self.fleet.open_store_port()
        self.front = f"127.0.0.1:{ports[2]}"
        self.ready = f"127.0.0.1:{ports[3]}"
        self.directory = f"127.0.0.1:{ports[4]}"
        self.internal = f"127.0.0.1:{ports[1]}"
        path = folder / f"{name}.toml"
        path.write_text(
            SETTINGS.format(
                name=name,
                centre=centre,
                region=platformfleet.REGIONS_BY_DATA_CENTRE[centre],
                port=ports[0],
                front=ports[2],
                ready=ports[3],
                directory=ports[4],
                store=store,
                bounds=self.bounds,
                tables=self.tables,
            )
            + more_settings
        )
        self.log = folder / f"{name}.log"
        with self.log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.program,
                stdout=output,
                stderr=output,
                env={
                    **os.environ,
                    platform_settings.PATH_VARIABLE: str(path),
                },
            )

    async def wait_ready(self) -> None:
        async with asyncio.timeout(15.0):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def stop(self) -> int:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGTERM)
        return await self.process.wait()

    async def _is_ready(self) -> bool:
        try:
            async with self.fleet.session.get(
                f"http://{self.ready}{names.READY_PATH}"
            ) as response:
                return response.status == 200
        except OSError:
            return False
