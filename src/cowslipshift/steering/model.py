"""What operators configure and backend servers report, as typed values.

Durations are in seconds, rates in requests per second.
"""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route's traffic split and its weight."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """What applies to requests of one virtual host and path prefix.

    Attributes:
        name: Name of the route.
        hostname: Virtual host that callers name.
        prefix: Path prefix; the longest that matches applies.
        traffic_split: Services that the requests are split over.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Longest time that a request is kept waiting.
        target_s: Time within which an answer earns its full credit.
        attempts: Most backend servers that one request is sent to.
        priority: Urgency; 0 goes first.
        is_public: Whether requests need no key.
        has_affinity: Whether a backend server that has handled the same
            object lately is faster.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    hostname: str
    prefix: str
    traffic_split: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float
    target_s: float
    attempts: int
    priority: int
    is_public: bool
    has_affinity: bool
    regions: tuple[str, ...] = ()


class Account(msgspec.Struct, frozen=True):
    """A client account.

    Attributes:
        priority: Urgency of its requests; goes before the route's.
        rate: Requests per second over all hosts; 0 for no limit.
        burst: Requests that it may send at once.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    priority: int
    rate: float
    burst: float
    regions: tuple[str, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service.

    Attributes:
        connection_limit: Connections that one backend server accepts.
        cold_s: How long a started backend server stays cold.
        cold_rate: Requests per second that it tolerates meanwhile.
    """

    name: str
    connection_limit: int
    cold_s: float
    cold_rate: float


class Limits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operators' configuration.

    Attributes:
        accounts_by_key: Name of the account by the key that callers show.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    accounts_by_key: dict[str, str]
    limits: Limits


class Backend(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server as it registered itself.

    Attributes:
        id: Identity that requests name, so that no other server at the
            same address runs them.
        started_ms: Unix time of its start, which tells incarnations apart.
        cold_s: How much longer it is slow after its start.
    """

    id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    cold_s: float
    started_ms: int

    @property
    def incarnation(self) -> str:
        """Tells this start of the server from all others."""
        return f"{self.id}@{self.started_ms}"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An order to bring in a new version of a service.

    Attributes:
        order: Store revision of the order.
        ramp_s: Time from the order in which it must be done.
    """

    service: str
    version: str
    ramp_s: float
    order: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A host as it announces itself to the others.

    Attributes:
        public_address: Address for callers, ``ip:port``.
        internal_address: Address at which other hosts ask, ``ip:port``.
        heartbeat_address: Address at which it hears other hosts,
            ``ip:port``.
        incarnation: Unix milliseconds of its start.
    """

    name: str
    data_centre: str
    region: str
    public_address: str = msgspec.field(name="front")
    internal_address: str = msgspec.field(name="internal")
    heartbeat_address: str = msgspec.field(name="words")
    incarnation: int
