"""The ``cowslipshiftd`` program."""

from __future__ import annotations

import gc
import os
import sys
from typing import Any

import aiomisc
import fire
import uvloop

from cowslipshift import supervision
from cowslipshift.daemon import exceptions
from cowslipshift.daemon import service
from cowslipshift.daemon import settings as daemon_settings
from cowslipshift.telemetry import logs

INVALID_SETTINGS_STATUS = 2
SHUTDOWN_MARGIN_S = 15.0
GC_YOUNG_THRESHOLD = 20_000
GC_OLDER_THRESHOLD = 20


def run_daemon(
    name: str | None = None,
    data_centre: str | None = None,
    region: str | None = None,
    listen: str | None = None,
    peer_listen: str | None = None,
    store: str | None = None,
    peers: str | None = None,
    secret: str | None = None,
    source_address: str | None = None,
    drain_s: float | None = None,
    log_level: str | None = None,
) -> None:
    """Run one entry host until SIGTERM.

    Each flag can also be given as an environment variable, such as
    COWSLIPSHIFT_PEER_LISTEN for --peer_listen. Give the secret that way.

    Args:
        name: Name of this host in the configuration.
        data_centre: Its data centre.
        region: Its region.
        listen: Address for callers, ip:port.
        peer_listen: Address for other hosts, ip:port.
        store: Base URLs of the platform's store, separated by commas.
        peers: Peer addresses to learn the configuration from.
        secret: The secret that all hosts share.
        source_address: Local IP address to connect from.
        drain_s: Longest time in seconds to finish requests at shutdown.
        log_level: Lowest level of log lines.
    """
    flags: dict[str, Any] = dict(locals())
    try:
        settings = daemon_settings.read_settings(flags, os.environ)
    except exceptions.SettingsError as error:
        for fault in error.faults:
            print(f"cowslipshiftd: [{error.code}] {fault}", file=sys.stderr)
        sys.exit(INVALID_SETTINGS_STATUS)
    stop_signals = supervision.StopSignals()
    _tune_collector()
    handler = logs.install_handler(settings.log_level, settings.name)
    with aiomisc.entrypoint(
        service.HostService(settings=settings),
        log_config=False,
        pool_size=2,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
        shutdown_timeout=settings.drain_s + SHUTDOWN_MARGIN_S,
    ) as loop:
        loop.run_until_complete(stop_signals.wait(loop, handler))


def _tune_collector() -> None:
    """Collect garbage less often, and exclude objects created at start.

    A full collection on a busy host takes longer than a request.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GC_YOUNG_THRESHOLD, GC_OLDER_THRESHOLD, GC_OLDER_THRESHOLD
    )


def main() -> None:
    """Run the program."""
    fire.Fire(run_daemon, name="cowslipshiftd")


if __name__ == "__main__":
    main()
