"""The typed configuration document, format 1.

Durations carry their unit in the field name. Entries of a section are
identified by ``name`` (``id`` for keys and exceptions) and are unique.
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
        id: Unique id of the change, used to read back a lost answer.
        author: The operator.
        reason: A sentence for other operators.
        at_ms: Wall-clock time of the change in Unix milliseconds.
    """

    id: str
    author: str
    reason: str
    at_ms: int


class Region(Entry, frozen=True):
    """A region.

    Attributes:
        capacity: Most concurrent requests in the region, all services
            together; ``None`` leaves only the backend servers' slots.
    """

    name: str
    capacity: int | None = None


class DataCentre(Entry, frozen=True):
    """A data centre of a region."""

    name: str
    region: str


class Link(Entry, frozen=True):
    """The network between two regions.

    Attributes:
        regions: The two ends.
        latency_ms: One-way latency.
        limit_mbit: Limit in each direction, in Mbit/s.
    """

    name: str
    regions: tuple[str, str]
    latency_ms: float
    limit_mbit: float


class Host(Entry, frozen=True):
    """An entry host.

    Attributes:
        url: Address for callers, such as ``http://10.0.0.1:8080``.
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
        region: The region that is nearest.
    """

    name: str
    region: str


class Route(Entry, frozen=True):
    """A path prefix of a service.

    Attributes:
        name: The path prefix, starting with a slash.
        idempotent: Whether running a request twice is harmless.
        open: Whether requests need no key.
    """

    name: str
    idempotent: bool = True
    open: bool = False


class Service(Entry, frozen=True):
    """A service and its routes.

    Attributes:
        routes: The longest prefix that matches a path applies.
        max_deadline_ms: Longest deadline a caller may ask for.
        default_deadline_ms: Deadline of requests that name none.
        max_body_bytes: Largest request body.
        forward_headers: Further request headers passed on.
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
        slots: Most concurrent requests from all hosts together.
        connection_limit: Most open connections it accepts.
        state: ``leaving`` gets no new work.
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
    """A client account.

    Attributes:
        rate: Fleet-wide requests per second.
        burst: Fleet-wide burst in requests.
        services: The services it may use; empty for all.
    """

    name: str
    rate: float
    burst: float
    services: tuple[str, ...] = ()


class Key(Entry, frozen=True):
    """A caller's key; only its digest is held.

    Attributes:
        digest: SHA-256 of the key in hexadecimal.
        state: ``withdrawn`` keys never become active again.
    """

    id: str
    account: str
    digest: str
    state: Literal["active", "withdrawn"] = "active"


class Defaults(Entry, frozen=True):
    """Fleet-wide defaults; exceptions override them for a scope.

    Attributes:
        lookup_lifetime_s: How long callers may cache a look-up.
        queue_per_slot: Waiting requests allowed for each slot.
        retry_ratio: Retries as a fraction of first attempts.
        cold_ramp_s: Time in which a new server reaches its full share.
        shift_cap_per_s: Largest part of a service's traffic that shifts
            move in one second.
    """

    lookup_lifetime_s: float = 30.0
    queue_per_slot: int = 16
    retry_ratio: float = 0.1
    cold_ramp_s: float = 10.0
    shift_cap_per_s: float = 0.05


class Scope(Entry, frozen=True):
    """What an exception applies to; unset fields match everything."""

    service: str | None = None
    region: str | None = None
    account: str | None = None
    server: str | None = None
    version: str | None = None


class Override(Entry, frozen=True):
    """One entry of the short list of exceptions to the defaults.

    Attributes:
        setting: A field of `Defaults`.
        value: The value in force within the scope.
        reason: Why the exception exists.
        since_ms: Start in Unix milliseconds.
        until_ms: End in Unix milliseconds, or ``None``.
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
    """A move of a service from one version to the next.

    Attributes:
        start_ms: When it begins, in Unix milliseconds.
        end_ms: When it must be done or is taken back.
        bake_s: How long the new version must have its largest share first.
        early_share: Its share of the traffic until it has earned more.
        routes: The routes that move; empty for all.
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
    """A change of the part of a place's traffic that stays there.

    Attributes:
        place: A region or a data centre.
        from_weight: The part that stayed before, from 0 to 1.
        to_weight: The part that stays afterwards.
        start_ms: When it begins, in Unix milliseconds.
        cap_per_s: Largest change of the part in one second.
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
    """The whole document at one revision.

    Attributes:
        revision: Grows by one with each accepted change.
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
"""Sections that hold lists of entries, with the field that identifies."""
