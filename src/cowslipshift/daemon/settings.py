"""Settings of the daemon, from flags and environment variables."""

from __future__ import annotations

import ipaddress
import re
from typing import TYPE_CHECKING
import urllib.parse

import msgspec

from cowslipshift.daemon import exceptions
from cowslipshift.peers import credentials
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Mapping

ENV_PREFIX = "COWSLIPSHIFT_"
MAX_DRAIN_S = 600.0

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The checked settings of one daemon.

    Attributes:
        name: Name of this host in the configuration.
        data_centre: Its data centre.
        region: Its region.
        listen: Address for callers, ``ip:port``.
        peer_listen: Address for other hosts, ``ip:port``.
        store: Base URLs of the store.
        peers: Peer addresses to learn the configuration from.
        secret: The hosts' shared secret.
        source_address: Local IP address to connect from, or empty.
        drain_s: Longest time in seconds to finish requests at shutdown.
        log_level: Lowest level of log lines.
    """

    name: str
    data_centre: str
    region: str
    listen: str
    peer_listen: str
    store: tuple[str, ...]
    peers: tuple[str, ...]
    secret: str
    source_address: str
    drain_s: float
    log_level: str


_DEFAULTS = {
    "peers": "",
    "source_address": "",
    "drain_s": "12",
    "log_level": "info",
}


def read_settings(
    flags: Mapping[str, object], environment: Mapping[str, str]
) -> Settings:
    """Read and check all settings; flags override the environment.

    Args:
        flags: Values of flags; ``None`` for flags that were not given.
        environment: Environment variables.

    Raises:
        SettingsError: Some settings are missing or invalid; it lists them all.
    """
    values_by_field: dict[str, str] = {}
    faults: list[str] = []
    known = Settings.__struct_fields__
    faults.extend(f"--{f}: no such setting" for f in flags if f not in known)
    for field in known:
        value = flags.get(field)
        if isinstance(value, (list, tuple)):
            value = ",".join(str(part) for part in value)
        if value is None:
            value = environment.get(ENV_PREFIX + field.upper())
        if value is None:
            value = _DEFAULTS.get(field)
        if value is None:
            faults.append(
                f"--{field}: is required (or {ENV_PREFIX}{field.upper()})"
            )
        else:
            values_by_field[field] = str(value)
    for field, text in values_by_field.items():
        fault = _check_field(field, text)
        if fault is not None:
            faults.append(f"--{field}: {fault}")
    if faults:
        raise exceptions.SettingsError(faults)
    return _build_settings(values_by_field)


def _build_settings(values_by_field: dict[str, str]) -> Settings:
    return Settings(
        name=values_by_field["name"],
        data_centre=values_by_field["data_centre"],
        region=values_by_field["region"],
        listen=values_by_field["listen"],
        peer_listen=values_by_field["peer_listen"],
        store=tuple(_split_list(values_by_field["store"])),
        peers=tuple(_split_list(values_by_field["peers"])),
        secret=values_by_field["secret"],
        source_address=values_by_field["source_address"],
        drain_s=float(values_by_field["drain_s"]),
        log_level=values_by_field["log_level"],
    )


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _check_field(field: str, text: str) -> str | None:
    if field in ("name", "data_centre", "region"):
        return None if _NAME.match(text) else f"'{text}' is not a valid name"
    if field in ("listen", "peer_listen"):
        return _check_address(text)
    if field == "peers":
        return next(filter(None, map(_check_address, _split_list(text))), None)
    if field == "store":
        return _check_store(text)
    if field == "secret":
        if len(text) < credentials.MIN_SECRET_CHARS:
            return f"needs at least {credentials.MIN_SECRET_CHARS} characters"
        return None
    if field == "source_address":
        return None if not text else _check_ip(text)
    if field == "drain_s":
        return _check_number(text, MAX_DRAIN_S)
    if text not in logs.LEVELS:
        return f"must be one of {', '.join(logs.LEVELS)}"
    return None


def _check_ip(text: str) -> str | None:
    try:
        ipaddress.ip_address(text.strip("[]"))
    except ValueError:
        return f"'{text}' is not an IP address"
    return None


def _check_address(text: str) -> str | None:
    host, _, port = text.rpartition(":")
    if _check_ip(host) or not port.isdecimal() or not 0 < int(port) < 65536:
        return f"'{text}' is not ip:port"
    return None


def _check_store(text: str) -> str | None:
    urls = _split_list(text)
    if not urls:
        return "needs at least one URL"
    for url in urls:
        parts = urllib.parse.urlsplit(url)
        if parts.scheme not in ("http", "https") or not parts.netloc:
            return f"'{url}' is not an HTTP URL"
    return None


def _check_number(text: str, maximum: float) -> str | None:
    try:
        value = float(text)
    except ValueError:
        return f"'{text}' is not a number"
    return None if 0 <= value <= maximum else f"must be from 0 to {maximum:g}"
