"""Decodes entries of the platform's store into the types of `steering`.

Each entry is decoded strictly and on its own: a malformed entry of another
writer raises an error and does not affect the other entries.
"""

from __future__ import annotations

import ipaddress
from typing import Annotated
from typing import Any

import msgspec

from cowslipshift.config import document as documents
from cowslipshift.platform import exceptions
from cowslipshift.steering import model

MS_PER_S = 1000.0
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000.0
MAX_WHOLE_NUMBER = 2**53
"""Larger numbers in an entry are a fault of its writer."""

MAX_PORT = 65_535
STATES = ("running", "completed", "rolled_back")


_WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class SplitEntry(msgspec.Struct):
    """A service of a split, as operators write it."""

    service: str
    weight: float


class Path(msgspec.Struct):
    """A route, as operators write it."""

    name: str
    prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float
    attempts: int
    service: str = ""
    traffic_split: list[SplitEntry] = []
    priority: int = 0
    public: bool = False
    session_affinity: bool = False
    allowed_regions: list[str] = []


class VirtualHost(msgspec.Struct):
    """A virtual host, as operators write it."""

    hostname: str
    paths: list[Path]


class Service(msgspec.Struct):
    """A service, as operators write it."""

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class Tenant(msgspec.Struct):
    """A client account, as operators write it."""

    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] = []


class Limits(msgspec.Struct):
    """Limits of client requests, as operators write them."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class Document(msgspec.Struct):
    """The configuration, as operators write it."""

    version: str
    virtual_hosts: list[VirtualHost]
    services: list[Service]
    tenants: list[Tenant] = []
    limits: Limits = msgspec.field(default_factory=Limits)


class _Info(msgspec.Struct):
    service: str
    zone: str
    version: str
    concurrency: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _Status(msgspec.Struct):
    state: str
    seq: _WholeNumber
    cold_remaining_ms: Annotated[
        float, msgspec.Meta(ge=-MAX_COLD_MS, le=MAX_COLD_MS)
    ] = 0


class _Server(msgspec.Struct):
    address: str
    info: _Info
    status: _Status
    born: _WholeNumber = 0


class _Rollout(msgspec.Struct):
    service: str
    target_version: str
    ramp_s: float


def decode_configuration(raw: bytes) -> model.Configuration:
    """Decode the configuration of the platform.

    Raises:
        MalformedEntryError: The entry is not a valid configuration.
    """
    return build_configuration(decode_document(raw))


def decode_document(raw: bytes) -> Document:
    """Decode the operators' form of the configuration.

    Raises:
        MalformedEntryError: A field is missing or has another type.
    """
    document: Document = _decode(raw, Document, "configuration")
    return document


def build_configuration(config: Document) -> model.Configuration:
    """Translate the operators' form of the configuration.

    Raises:
        MalformedEntryError: The version or the type of a route is unknown.
    """
    routes = tuple(
        _build_route(host.hostname, path)
        for host in config.virtual_hosts
        for path in host.paths
    )
    accounts = {
        t.name: model.Account(
            t.name,
            t.priority,
            t.rate_per_s,
            t.burst,
            tuple(t.allowed_regions),
        )
        for t in config.tenants
    }
    limits = config.limits
    try:
        version = int(config.version, 16)
    except ValueError as error:
        raise exceptions.MalformedEntryError(
            f"configuration version '{config.version}' is not hexadecimal",
            "$.version",
        ) from error
    return model.Configuration(
        version=version,
        routes=routes,
        services={
            s.name: model.Service(
                s.name, s.max_connections, s.cold_start_s, s.cold_per_s
            )
            for s in config.services
        },
        accounts=accounts,
        accounts_by_key={
            k: t.name for t in config.tenants for k in t.api_keys
        },
        limits=model.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_backend(identity: str, raw: bytes) -> model.Backend:
    """Decode the entry of a backend server.

    Raises:
        MalformedEntryError: The entry is malformed, or its state, address or
            numbers are unusable.
    """
    server = _decode(raw, _Server, f"entry of server '{identity}'")
    if server.status.state not in ("ready", "draining"):
        raise exceptions.MalformedEntryError(
            f"server '{identity}' has an unknown state"
        )
    if not _is_address(server.address):
        raise exceptions.MalformedEntryError(
            f"server '{identity}' has an invalid address"
        )
    return model.Backend(
        id=identity,
        service=server.info.service,
        address=server.address,
        data_centre=server.info.zone,
        version=server.info.version,
        slots=server.info.concurrency,
        is_draining=server.status.state == "draining",
        cold_s=max(0.0, server.status.cold_remaining_ms / MS_PER_S),
        started_ms=server.born,
        sequence=server.status.seq,
    )


def decode_rollout(
    raw: bytes, number: int, era: int = 0
) -> model.RolloutOrder:
    """Decode an order to roll out a new version.

    Args:
        raw: The entry.
        number: Store revision that identifies the order.
        era: Era of the store that the revision belongs to.

    Raises:
        MalformedEntryError: The entry is not a valid order.
    """
    order = _decode(raw, _Rollout, "roll-out order")
    return model.RolloutOrder(
        order.service, order.target_version, order.ramp_s, number, era
    )


def encode_status(version: str, state: str) -> bytes:
    """Encode the status of a roll-out.

    Raises:
        ValueError: The state is not one of `STATES`.
    """
    if state not in STATES:
        raise ValueError(f"no state of a roll-out: {state}")
    return msgspec.json.encode({"state": state, "target_version": version})


def _build_route(hostname: str, path: Path) -> model.Route:
    if path.type not in ("idempotent", "non_idempotent"):
        raise exceptions.MalformedEntryError(
            f"route '{path.name}' has the unknown type '{path.type}'",
            f"virtual_hosts[{hostname}].paths[{path.name}].type",
        )
    weighted_services = tuple(
        model.WeightedService(p.service, p.weight) for p in path.traffic_split
    )
    return model.Route(
        name=path.name,
        hostname=hostname,
        prefix=path.prefix,
        weighted_services=weighted_services
        or (model.WeightedService(path.service, 1.0),),
        is_idempotent=path.type == "idempotent",
        timeout_s=path.timeout_ms / MS_PER_S,
        target_s=path.target_latency_ms / MS_PER_S,
        attempts=path.attempts,
        priority=path.priority,
        is_public=path.public,
        has_affinity=path.session_affinity,
        regions=tuple(path.allowed_regions),
    )


def _is_address(text: str) -> bool:
    """Tell whether a text is ``ip:port`` with an IPv4 number."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isascii() and port.isdecimal()
    return (
        is_number
        and len(port) <= len(str(MAX_PORT))
        and 0 < int(port) <= MAX_PORT
    )


def _decode(raw: bytes, kind: type[Any], what: str) -> Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.MalformedEntryError(
            f"the {what} is malformed: {error}",
            documents.describe_decode_error(str(error)).path,
        ) from error
