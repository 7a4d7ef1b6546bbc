"""The command ``cowslipshift standin``, for the embedded stand-ins."""

from __future__ import annotations

import asyncio
import pathlib

import msgspec

from cowslipshift.standins import backend as backends
from cowslipshift.standins import runner
from cowslipshift.standins import store as stores


class StandinCommand:
    """Start a stand-in for the platform's store or for backend servers."""

    def store(self, port: int = 0, address: str = "127.0.0.1") -> None:
        """Run a stand-in store until SIGTERM.

        Args:
            port: Port to listen on, or 0 for a free one; it is printed.
            address: IP address to listen on.
        """
        asyncio.run(
            runner.serve_until_signal(
                lambda: stores.StoreStandIn().build_application(),
                address,
                port,
            )
        )

    def backends(self, file: str, address: str = "127.0.0.1") -> None:
        """Run several stand-in backend servers in one process until SIGTERM.

        Args:
            file: JSON list of objects with name, version, port, slots and
                service_ms.
            address: IP address to listen on.
        """
        rows = msgspec.json.decode(
            pathlib.Path(file).read_bytes(), type=list[runner.BackendSpec]
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
        """Run a stand-in backend server until SIGTERM.

        Args:
            name: Name of the backend server, sent with each answer.
            version: Its version, sent with each answer.
            port: Port to listen on, or 0 for a free one; it is printed.
            address: IP address to listen on.
            slots: Concurrent requests that it serves without slowing down.
            service_ms: Service time in milliseconds.
            jitter: Relative spread of the service time.
            cold_ms: Additional service time in milliseconds right after the
                start.
            cold_for_s: Seconds over which the additional time falls to zero.
            fail_ratio: Fraction of requests that fail.
            seed: Seed of the random number generator.
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
