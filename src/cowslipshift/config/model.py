"""Types of the operators' configuration document, format 1.

Durations carry their unit in the field name. The entries of a section have a
unique ``name`` (``id`` for exceptions, keys, moves and shifts).
"""

from __future__ import annotations

from typing import Literal

import msgspec

FORMAT = 1


class Entry(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all configuration entries."""


class Change(Entry, frozen=True):
    """Who made a revision, and why.

    Attributes:
        id: Unique id, by which a change whose answer was lost is found again.
        author: The operator.
        reason: Explanation for other operators.
        at_ms: Wall-clock time of the change in Unix milliseconds.
    """

    id: str
    author: str
    reason: str
    at_ms: int


class Region(Entry, frozen=True):
    """A region.

    Attributes:
        capacity: Limit of concurrent requests in the region, all services
            together; ``None`` for no limit but the backend servers' slots.
    """

    name: str
    capacity: int | None = None


class DataCentre(Entry, frozen=True):
    """A data centre in a region."""

    name: str
    region: str


class Link(Entry, frozen=True):
    """The network link between two regions.

    Attributes:
        regions: The two regions that it connects.
        latency_ms: One-way latency.
        limit_mbit: Bandwidth limit in each direction, in Mbit/s.
    """

    name: str
    regions: tuple[str, str]
    latency_ms: float
    limit_mbit: float


class Host(Entry, frozen=True):
    """A host, which accepts requests of clients.

    Attributes:
        url: Base URL for clients, such as ``http://10.0.0.1:8080``.
        peer: Address for other hosts, ``ip:port``.
    """

    name: str
    data_centre: str
    url: str
    peer: str


class Block(Entry, frozen=True):
    """A block of client addresses and the region nearest to it.

    Attributes:
        name: The block in CIDR notation.
        region: Name of the nearest region.
    """

    name: str
    region: str


class Route(Entry, frozen=True):
    """A path prefix of a service.

    Attributes:
        name: The path prefix, starting with a slash.
        idempotent: Whether a request may safely run twice.
        open: Whether requests are accepted without a key.
    """

    name: str
    idempotent: bool = True
    open: bool = False


class Service(Entry, frozen=True):
    """A service and its routes.

    Attributes:
        routes: Its routes; the one with the longest matching prefix applies.
        max_deadline_ms: Longest deadline that a client may request.
        default_deadline_ms: Deadline of requests that specify none.
        max_body_bytes: Largest accepted request body.
        forward_headers: Additional request headers to forward.
    """

    name: str
    routes: tuple[Route, ...]
    max_deadline_ms: int = 10_000
    default_deadline_ms: int = 3_000
    max_body_bytes: int = 8 * 1024 * 1024
    forward_headers: tuple[str, ...] = ()


class Server(Entry, frozen=True):
    """A backend server.

    Attributes:
        slots: Limit of concurrent requests from all hosts together.
        connection_limit: Limit of open connections that it accepts.
        state: ``leaving`` servers receive no new requests.
    """

    name: str
    service: str
    data_centre: str
    url: str
    slots: int
    version: str = "1"
    connection_limit: int = 360
    state: Literal["active", "leaving"] = "active"


class Account(Entry, frozen=True):
    """A client account and its quota.

    Attributes:
        rate: Fleet-wide requests per second.
        burst: Fleet-wide burst in requests.
        services: The services that it may use; empty for all.
    """

    name: str
    rate: float
    burst: float
    services: tuple[str, ...] = ()


class Key(Entry, frozen=True):
    """A key of a client account; only its digest is stored.

    Attributes:
        digest: SHA-256 of the key in hexadecimal.
        state: A ``withdrawn`` key cannot become active again.
    """

    id: str
    account: str
    digest: str
    state: Literal["active", "withdrawn"] = "active"


class Defaults(Entry, frozen=True):
    """Fleet-wide default settings; overrides replace them within a scope.

    Attributes:
        lookup_lifetime_s: How long clients may cache the answer to a look-up.
        queue_per_slot: Limit of queued requests for each slot.
        retry_ratio: Limit of retries as a fraction of first attempts.
        cold_ramp_s: Time in which a new server ramps up to its full share.
        shift_cap_per_s: Largest fraction of a service's traffic in a region
            or data centre that a shift may move in one second.
    """

    lookup_lifetime_s: float = 30.0
    queue_per_slot: int = 16
    retry_ratio: float = 0.1
    cold_ramp_s: float = 10.0
    shift_cap_per_s: float = 0.05


class Scope(Entry, frozen=True):
    """What an override applies to; unset fields match everything."""

    service: str | None = None
    region: str | None = None
    account: str | None = None
    server: str | None = None
    version: str | None = None


class Override(Entry, frozen=True):
    """An exception to a default setting, within a scope.

    Attributes:
        setting: A field of `Defaults`.
        value: The value in force within the scope.
        reason: Why the exception exists.
        since_ms: Start in Unix milliseconds.
        until_ms: End in Unix milliseconds; ``None`` for no end.
    """

    id: str
    setting: str
    value: float
    scope: Scope
    reason: str
    author: str
    since_ms: int
    until_ms: int | None = None


class Move(Entry, frozen=True):
    """A rollout of a new version of a service.

    Attributes:
        start_ms: When it begins, in Unix milliseconds.
        end_ms: When it is rolled back unless complete, in Unix milliseconds.
        bake_s: How long the new version must run at its largest share before
            the move is complete.
        early_share: Canary share of the traffic, held until the comparison
            of the versions permits more.
        routes: Routes that move; empty for all.
    """

    id: str
    service: str
    from_version: str
    to_version: str
    start_ms: int
    end_ms: int
    bake_s: float = 30.0
    early_share: float = 0.05
    routes: tuple[str, ...] = ()
    reason: str = ""
    author: str = ""


class Shift(Entry, frozen=True):
    """A gradual change of the fraction of traffic that a place keeps.

    Attributes:
        place: Name of a region or a data centre.
        from_weight: Fraction that stays there before, from 0 to 1.
        to_weight: Fraction that stays there afterwards, from 0 to 1.
        start_ms: When it begins, in Unix milliseconds.
        cap_per_s: Largest change of the fraction in one second.
    """

    id: str
    service: str
    place: str
    from_weight: float
    to_weight: float
    start_ms: int
    cap_per_s: float
    reason: str
    author: str


class Configuration(Entry, frozen=True):
    """One revision of the operators' configuration.

    Hosts on a platform use `cowslipshift.steering.model.Configuration`
    instead, which is decoded from the platform's store.

    Attributes:
        revision: Increases by one with each stored change.
        exceptions: Overrides of the defaults.
    """

    format: int = FORMAT
    revision: int = 0
    change: Change | None = None
    defaults: Defaults = Defaults()
    exceptions: tuple[Override, ...] = ()
    regions: tuple[Region, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    links: tuple[Link, ...] = ()
    hosts: tuple[Host, ...] = ()
    blocks: tuple[Block, ...] = ()
    services: tuple[Service, ...] = ()
    servers: tuple[Server, ...] = ()
    accounts: tuple[Account, ...] = ()
    keys: tuple[Key, ...] = ()
    moves: tuple[Move, ...] = ()
    shifts: tuple[Shift, ...] = ()


SECTIONS: dict[str, str] = {
    "exceptions": "id",
    "regions": "name",
    "data_centres": "name",
    "links": "name",
    "hosts": "name",
    "blocks": "name",
    "services": "name",
    "servers": "name",
    "accounts": "name",
    "keys": "id",
    "moves": "id",
    "shifts": "id",
}
"""Sections that hold entries, with the field that identifies an entry."""
