"""``cowslipshift standin``: the embedded stand-ins."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from cowslipshift.standins import backend as backends
from cowslipshift.standins import runner
from cowslipshift.standins import store as stores


class StandinCommand:
    """Start a stand-in of the platform's store or of a backend server."""

    def store(self, port: int = 0, address: str = "127.0.0.1") -> None:
        """Serve a store until SIGTERM.

        Args:
            port: Port, or 0 for a free one; it is printed.
            address: IP number to listen on.
        """
        asyncio.run(
            runner.serve_until_signal(
                lambda: stores.StoreStandIn().build_application(),
                address,
                port,
            )
        )

    def backends(self, file: str, address: str = "127.0.0.1") -> None:
        """Serve many backend servers in one process until SIGTERM.

        Args:
            file: JSON list of objects with name, version, port, slots and
                service_ms.
            address: IP number to listen on.
        """
        rows = msgspec.json.decode(
            pathlib.Path(file).read_bytes(), type=list[runner.BackendRow]
        )
        asyncio.run(runner.serve_backends(rows, address))

    def backend(
        self,
        name: str = "backend",
        version: str = "1",
        port: int = 0,
        address: str = "127.0.0.1",
        slots: int = 4,
        service_ms: float = 10.0,
        jitter: float = 0.0,
        cold_ms: float = 0.0,
        cold_for_s: float = 0.0,
        fail_ratio: float = 0.0,
        seed: int = 0,
    ) -> None:
        """Serve a backend server until SIGTERM.

        Args:
            name: Name that comes with each answer.
            version: Version that comes with each answer.
            port: Port, or 0 for a free one; it is printed.
            address: IP number to listen on.
            slots: Concurrent requests that it takes without slowing down.
            service_ms: Time to answer.
            jitter: Relative spread of the time to answer.
            cold_ms: Extra time right after the start.
            cold_for_s: Time in which the extra time fades out.
            fail_ratio: Fraction of requests that fail.
            seed: Seed of its random numbers.
        """
        behaviour = backends.Behaviour(
            slots=slots,
            service_ms=service_ms,
            jitter=jitter,
            cold_ms=cold_ms,
            cold_for_s=cold_for_s,
            fail_ratio=fail_ratio,
        )
        asyncio.run(
            runner.serve_until_signal(
                lambda: backends.BackendStandIn(
                    str(name), str(version), behaviour, seed
                ).build_application(),
                address,
                port,
            )
        )
