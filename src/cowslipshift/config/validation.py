"""Validates a configuration beyond the types of its fields."""

from __future__ import annotations

import collections
import ipaddress
import math
import re
from typing import TYPE_CHECKING
import urllib.parse

from cowslipshift.config import exceptions
from cowslipshift.config import model

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_DIGEST = re.compile(r"^[0-9a-f]{64}$")
_HEADER = re.compile(r"^[A-Za-z0-9-]{1,64}$")

MAX_SLOTS = 10_000
MAX_RATE = 10_000_000.0
MAX_DEADLINE_MS = 3_600_000
MAX_REASON_CHARS = 1_000
MIN_SHIFT_CAP_PER_S = 1e-5
MS_PER_S = 1000

_POSITIVE_SETTINGS = frozenset(
    {"lookup_lifetime_s", "queue_per_slot", "shift_cap_per_s"}
)
_RATIO_SETTINGS = frozenset({"retry_ratio", "shift_cap_per_s"})


def check_configuration(configuration: model.Configuration) -> None:
    """Check every rule and report all violations at once.

    Raises:
        InvalidConfigurationError: At least one rule is broken.
    """
    faults = list(find_faults(configuration))
    if faults:
        raise exceptions.InvalidConfigurationError(faults)


def find_faults(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    """Yield each violation of a rule."""
    if configuration.format != model.FORMAT:
        yield exceptions.Fault(
            "format", f"format {configuration.format} is not supported"
        )
    if configuration.revision < 0:
        yield exceptions.Fault("revision", "must not be negative")
    yield from _check_names(configuration)
    yield from _check_places(configuration)
    yield from _check_services(configuration)
    yield from _check_accounts(configuration)
    yield from _check_defaults(configuration)
    yield from _check_moves(configuration)
    yield from _check_shifts(configuration)


def _check_names(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    for section, field in model.SECTIONS.items():
        names = [getattr(e, field) for e in getattr(configuration, section)]
        for name, count in collections.Counter(names).items():
            if count > 1:
                yield exceptions.Fault(
                    f"{section}[{name}]",
                    f"is given {count} times",
                    "name_repeated",
                )
            if section != "blocks" and not _NAME.match(name):
                yield exceptions.Fault(
                    f"{section}[{name}]",
                    "names take letters, digits, '.', '_' and '-', at most 63",
                    "name_invalid",
                )


def _check_reference(
    path: str, name: str, known: Iterable[str], kind: str
) -> Iterator[exceptions.Fault]:
    if name not in known:
        yield exceptions.Fault(
            path, f"there is no {kind} '{name}'", "reference_unknown"
        )


def _check_range(
    path: str, value: float, low: float, high: float
) -> Iterator[exceptions.Fault]:
    if not math.isfinite(value) or not low <= value <= high:
        yield exceptions.Fault(
            path, f"must be from {low:g} to {high:g}", "out_of_range"
        )


def _check_url(path: str, url: str) -> Iterator[exceptions.Fault]:
    try:
        parts = urllib.parse.urlsplit(url)
        valid = parts.scheme in ("http", "https") and parts.port is not None
    except ValueError:
        valid = False
    if not valid:
        yield exceptions.Fault(path, "must look like http://ip:port")


def _check_address(path: str, address: str) -> Iterator[exceptions.Fault]:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65536
    except ValueError:
        valid = False
    if not valid:
        yield exceptions.Fault(path, "must look like ip:port")


def _check_places(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    regions = {region.name for region in configuration.regions}
    centres = {centre.name for centre in configuration.data_centres}
    for region in configuration.regions:
        if region.capacity is not None:
            path = f"regions[{region.name}].capacity"
            yield from _check_range(path, region.capacity, 0, 10_000_000)
    for centre in configuration.data_centres:
        path = f"data_centres[{centre.name}].region"
        yield from _check_reference(path, centre.region, regions, "region")
    for link in configuration.links:
        path = f"links[{link.name}]"
        for end in link.regions:
            yield from _check_reference(
                f"{path}.regions", end, regions, "region"
            )
        yield from _check_range(
            f"{path}.latency_ms", link.latency_ms, 0, 10_000
        )
        yield from _check_range(f"{path}.limit_mbit", link.limit_mbit, 0, 1e9)
    for host in configuration.hosts:
        path = f"hosts[{host.name}]"
        yield from _check_reference(
            f"{path}.data_centre", host.data_centre, centres, "data centre"
        )
        yield from _check_url(f"{path}.url", host.url)
        yield from _check_address(f"{path}.peer", host.peer)
    for block in configuration.blocks:
        path = f"blocks[{block.name}]"
        yield from _check_reference(
            f"{path}.region", block.region, regions, "region"
        )
        try:
            ipaddress.ip_network(block.name)
        except ValueError as error:
            yield exceptions.Fault(path, str(error))


def _check_services(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    services = {service.name for service in configuration.services}
    centres = {centre.name for centre in configuration.data_centres}
    for service in configuration.services:
        path = f"services[{service.name}]"
        yield from _check_routes(f"{path}.routes", service.routes)
        yield from _check_range(
            f"{path}.max_deadline_ms",
            service.max_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        )
        yield from _check_range(
            f"{path}.default_deadline_ms",
            service.default_deadline_ms,
            1,
            service.max_deadline_ms,
        )
        yield from _check_range(
            f"{path}.max_body_bytes", service.max_body_bytes, 0, 2**31
        )
        for header in service.forward_headers:
            if not _HEADER.match(header) or header.lower() == "authorization":
                yield exceptions.Fault(
                    f"{path}.forward_headers", f"'{header}' is not allowed"
                )
    for server in configuration.servers:
        path = f"servers[{server.name}]"
        yield from _check_reference(
            f"{path}.service", server.service, services, "service"
        )
        yield from _check_reference(
            f"{path}.data_centre", server.data_centre, centres, "data centre"
        )
        yield from _check_url(f"{path}.url", server.url)
        yield from _check_range(f"{path}.slots", server.slots, 1, MAX_SLOTS)
        yield from _check_range(
            f"{path}.connection_limit",
            server.connection_limit,
            server.slots,
            1_000_000,
        )


def _check_routes(
    path: str, routes: tuple[model.Route, ...]
) -> Iterator[exceptions.Fault]:
    if not routes:
        yield exceptions.Fault(path, "a service needs at least one route")
    seen: set[str] = set()
    for route in routes:
        if not route.name.startswith("/") or "?" in route.name:
            yield exceptions.Fault(
                f"{path}[{route.name}]", "must be a path that starts with /"
            )
        if route.name in seen:
            yield exceptions.Fault(
                f"{path}[{route.name}]", "is given twice", "name_repeated"
            )
        seen.add(route.name)


def _check_accounts(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    accounts = {account.name for account in configuration.accounts}
    services = {service.name for service in configuration.services}
    for account in configuration.accounts:
        path = f"accounts[{account.name}]"
        yield from _check_range(f"{path}.rate", account.rate, 0, MAX_RATE)
        yield from _check_range(f"{path}.burst", account.burst, 0, MAX_RATE)
        for name in account.services:
            yield from _check_reference(
                f"{path}.services", name, services, "service"
            )
    digests: dict[str, str] = {}
    for key in configuration.keys:
        path = f"keys[{key.id}]"
        yield from _check_reference(
            f"{path}.account", key.account, accounts, "account"
        )
        if not _DIGEST.match(key.digest):
            yield exceptions.Fault(
                f"{path}.digest", "must be a SHA-256 digest in hexadecimal"
            )
        if key.digest in digests:
            yield exceptions.Fault(
                f"{path}.digest",
                f"is the same as keys[{digests[key.digest]}]",
                "key_repeated",
            )
        digests[key.digest] = key.id


def _check_defaults(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    for setting in model.Defaults.__struct_fields__:
        value = getattr(configuration.defaults, setting)
        yield from _check_setting(f"defaults.{setting}", setting, value)
    known = {
        "service": {s.name for s in configuration.services},
        "region": {r.name for r in configuration.regions},
        "account": {a.name for a in configuration.accounts},
        "server": {s.name for s in configuration.servers},
    }
    for override in configuration.exceptions:
        path = f"exceptions[{override.id}]"
        if override.setting not in model.Defaults.__struct_fields__:
            yield exceptions.Fault(
                f"{path}.setting", f"'{override.setting}' is no default"
            )
        yield from _check_setting(
            f"{path}.value", override.setting, override.value
        )
        if not override.reason.strip():
            yield exceptions.Fault(f"{path}.reason", "a reason is needed")
        if len(override.reason) > MAX_REASON_CHARS:
            yield exceptions.Fault(f"{path}.reason", "is too long")
        for kind, names in known.items():
            name = getattr(override.scope, kind)
            if name is not None:
                yield from _check_reference(
                    f"{path}.scope.{kind}", name, names, kind
                )


def _check_setting(
    path: str, setting: str, value: float
) -> Iterator[exceptions.Fault]:
    low = 0.001 if setting in _POSITIVE_SETTINGS else 0.0
    high = 1.0 if setting in _RATIO_SETTINGS else 86_400.0
    yield from _check_range(path, value, low, high)


def _check_moves(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    services = {service.name: service for service in configuration.services}
    moving_services: set[str] = set()
    for move in configuration.moves:
        path = f"moves[{move.id}]"
        yield from _check_reference(
            f"{path}.service", move.service, services, "service"
        )
        if move.service in moving_services:
            yield exceptions.Fault(
                f"{path}.service", "already has another move"
            )
        moving_services.add(move.service)
        if move.from_version == move.to_version:
            yield exceptions.Fault(
                f"{path}.to_version", "is the same as from_version"
            )
        yield from _check_range(
            f"{path}.early_share", move.early_share, 0.0, 0.5
        )
        max_bake_s = max(0.0, (move.end_ms - move.start_ms) / MS_PER_S)
        yield from _check_range(f"{path}.bake_s", move.bake_s, 0.0, max_bake_s)
        if move.end_ms <= move.start_ms:
            yield exceptions.Fault(f"{path}.end_ms", "must be after the start")
        known = services.get(move.service)
        routes = {route.name for route in known.routes} if known else set()
        for name in move.routes:
            yield from _check_reference(
                f"{path}.routes", name, routes, "route"
            )
        versions = {
            server.version
            for server in configuration.servers
            if server.service == move.service
        }
        for version in (move.from_version, move.to_version):
            yield from _check_reference(path, version, versions, "version")


def _check_shifts(
    configuration: model.Configuration,
) -> Iterator[exceptions.Fault]:
    services = {service.name for service in configuration.services}
    places = {region.name for region in configuration.regions}
    places |= {centre.name for centre in configuration.data_centres}
    cap = configuration.defaults.shift_cap_per_s
    for shift in configuration.shifts:
        path = f"shifts[{shift.id}]"
        yield from _check_reference(
            f"{path}.service", shift.service, services, "service"
        )
        yield from _check_reference(
            f"{path}.place", shift.place, places, "region or data centre"
        )
        for field in ("from_weight", "to_weight"):
            yield from _check_range(
                f"{path}.{field}", getattr(shift, field), 0.0, 1.0
            )
        yield from _check_range(
            f"{path}.cap_per_s", shift.cap_per_s, MIN_SHIFT_CAP_PER_S, cap
        )
        if not shift.reason.strip():
            yield exceptions.Fault(f"{path}.reason", "a reason is needed")
