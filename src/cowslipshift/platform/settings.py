"""Reads the settings file that the platform writes for each process."""

from __future__ import annotations

import pathlib
import tomllib
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.platform import exceptions

if TYPE_CHECKING:
    from collections.abc import Mapping

PATH_VARIABLE = "COWSLIPSHIFT_SETTINGS"


class ListenAddresses(msgspec.Struct, frozen=True):
    """Addresses, ``ip:port``, on which a process listens.

    Attributes:
        front: For requests of clients.
        ready: For readiness checks.
        directory: For look-ups.
    """

    front: str
    ready: str
    directory: str


class StoreAddress(msgspec.Struct, frozen=True):
    """The platform's store.

    Attributes:
        address: Its ``ip:port``.
        min_ttl_ms: Shortest time to live of a lease that it accepts.
    """

    address: str
    min_ttl_ms: int = 1000


class DutyAddress(msgspec.Struct, frozen=True):
    """Where the platform takes calls that are one host's duty.

    Attributes:
        address: Its ``ip:port``.
        duties: Names of the duties that it expects to be done.
        duty_per_s: Calls that it accepts a second, of all hosts together.
    """

    address: str
    duties: tuple[str, ...] = ()
    duty_per_s: float = 10.0


class MachineLimits(msgspec.Struct, frozen=True):
    """What a machine grants its processes.

    Attributes:
        link_mbps: Bandwidth of its link, in Mbit/s; 0 if unknown.
        max_fds: Descriptors that a process may open; 0 if unknown.
    """

    link_mbps: float = 0.0
    max_fds: int = 0


class Bounds(msgspec.Struct, frozen=True):
    """Limits that the operators require the system to keep."""

    drain_ms: int = 2000
    grace_s: float = 6.0
    config_apply_ms: int = 2000
    retry_budget: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 60.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    rollback_ms: int = 5000
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    contact_ms: int = 3000
    ttl_max_s: float = 5.0
    require_fencing: bool = True
    lease_ms: int = 3000
    report_window_s: float = 5.0
    usage_late_s: float = 10.0


class HostSettings(msgspec.Struct, frozen=True):
    """The settings of one process; unknown fields are ignored.

    Attributes:
        internal_ports: Ports for traffic between hosts. Heartbeats use the
            first, HTTP the port after it.
        zones: Region by data centre.
        bounds: Overrides of `Bounds`, each ``name=value``.
        cloud: Table of the duties; `find_duties` reads it.
    """

    node_name: str
    ip: str
    zone: str
    region: str
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: ListenAddresses
    platform: StoreAddress
    limits: MachineLimits = MachineLimits()
    heartbeat_ms: int = 1500
    bootstrap: bool = False
    bounds: tuple[str, ...] = ()
    cloud: object = None

    def find_duties(self) -> DutyAddress | None:
        """Return where the host's duties are called.

        Returns:
            ``None`` if there is no such table, also if there is something
            else in its place: deployments without duties may have one that
            is empty.
        """
        try:
            return msgspec.convert(self.cloud, DutyAddress)
        except msgspec.ValidationError:
            return None


def read_settings(
    environment: Mapping[str, str],
) -> tuple[HostSettings, Bounds]:
    """Read the settings file whose path is in `PATH_VARIABLE`.

    Raises:
        PlatformSettingsError: The file is missing, truncated or malformed.
    """
    path = environment.get(PATH_VARIABLE, "")
    try:
        text = pathlib.Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise exceptions.PlatformSettingsError(
            f"cannot read the file that {PATH_VARIABLE} names: {error}"
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> tuple[HostSettings, Bounds]:
    """Parse the text of a settings file.

    Raises:
        PlatformSettingsError: The text is truncated or malformed.
    """
    try:
        fields = tomllib.loads(text)
        settings = msgspec.convert(fields, HostSettings)
        pairs = [bound.partition("=")[::2] for bound in settings.bounds]
        bounds = msgspec.convert(dict(pairs), Bounds, strict=False)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise exceptions.PlatformSettingsError(
            f"malformed settings file: {error}"
        ) from error
    return settings, bounds
