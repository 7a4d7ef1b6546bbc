"""Command that runs a host from a platform's settings file."""

from __future__ import annotations

import os
import signal
import sys

import aiomisc
import uvloop

from cowslipshift import supervision
from cowslipshift.edge import service
from cowslipshift.platform import exceptions
from cowslipshift.platform import settings as platform_settings
from cowslipshift.telemetry import logs

INVALID_SETTINGS_STATUS = 2
SHUTDOWN_MARGIN_S = 5.0
LOG_LEVEL_VARIABLE = "COWSLIPSHIFT_LOG_LEVEL"


def main() -> None:
    """Run a host until SIGTERM or SIGINT; exit with 2 on invalid settings."""
    # The settings are read after this; until there is a handler, the signal
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    stop_signals = supervision.StopSignals()
    try:
        settings, bounds = platform_settings.read_settings(os.environ)
    except exceptions.PlatformSettingsError as error:
        print(f"cowslipshift: {error}", file=sys.stderr)
        sys.exit(INVALID_SETTINGS_STATUS)
    level = os.environ.get(LOG_LEVEL_VARIABLE, "info")
    handler = logs.install_handler(level, settings.node_name, sys.stdout)
    with aiomisc.entrypoint(
        service.EdgeService(settings=settings, bounds=bounds),
        log_config=False,
        pool_size=1,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
        shutdown_timeout=bounds.grace_s + SHUTDOWN_MARGIN_S,
    ) as loop:
        loop.add_signal_handler(
            signal.SIGHUP, _reload, logs.EventLog("service")
        )
        loop.run_until_complete(stop_signals.wait(loop, handler))


def _reload(log: logs.EventLog) -> None:
    """Check the settings file; the running host keeps its old settings."""
    try:
        platform_settings.read_settings(os.environ)
    except exceptions.PlatformSettingsError as error:
        log.error("reload_failed", code=error.code, reason=error.message)
        return
    log.info("reloaded")


if __name__ == "__main__":
    main()
