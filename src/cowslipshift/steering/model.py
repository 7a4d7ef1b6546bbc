"""Configuration, registrations and announcements as typed values.

Durations are in seconds, rates in requests per second.
"""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, frozen=True):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Settings for the requests of one virtual host and path prefix.

    Attributes:
        name: Name of the route, for operators. Routes of several virtual
            hosts may have the same one.
        hostname: Virtual host that clients name.
        prefix: Path prefix; the longest match applies.
        weighted_services: Services that the requests are split over.
        is_idempotent: Whether a request may run more than once.
        timeout_s: Maximum time that a client waits for the answer.
        target_s: Latency target; an answer within it earns full credit.
        attempts: Maximum number of backend servers that one request is sent
            to.
        priority: Priority of its requests; 0 is the highest.
        is_public: Whether requests need no API key.
        has_affinity: Whether a backend server that recently handled the same
            object answers faster.
        regions: Regions that may serve it; empty for all.
    """

    name: str
    hostname: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    is_idempotent: bool
    timeout_s: float
    target_s: float
    attempts: int
    priority: int
    is_public: bool
    has_affinity: bool
    regions: tuple[str, ...] = ()

    @property
    def key(self) -> tuple[str, str]:
        """Virtual host and path prefix, which select the route."""
        return self.hostname.lower(), self.prefix


class Account(msgspec.Struct, frozen=True):
    """A client account.

    Attributes:
        priority: Priority of its requests; it overrides that of the route.
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
        cold_s: How long a backend server stays cold after its start.
        cold_rate: Requests per second that a cold backend server tolerates.
    """

    name: str
    connection_limit: int
    cold_s: float
    cold_rate: float


class Limits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of client requests."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the platform's configuration.

    `config.model.Configuration` is its counterpart for hosts that run
    without a platform.

    Attributes:
        accounts_by_key: Account names by the API key that clients send.
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
        started_ms: Unix time of its start, which tells incarnations apart; 0
            if unknown.
        sequence: Number of the registration, which grows within one
            incarnation.
        cold_s: Remaining time that it is slow after its start.
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
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """Identifier of this start of the server."""
        return f"{self.id}@{self.started_ms}"

    def is_older_than(self, other: Backend) -> bool:
        """Tell whether the server wrote this entry before another one."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return self.started_ms > 0 and self.sequence < other.sequence


class RolloutOrder(msgspec.Struct, frozen=True):
    """An order to roll out a new version of a service.

    Attributes:
        order: Number of the order: the store revision at which its entry was
            created.
        ramp_s: Time from the order within which the roll-out must be done.
        era: Era of the store that the number belongs to.
    """

    service: str
    version: str
    ramp_s: float
    order: int
    era: int = 0

    def is_same_as(self, known: RolloutOrder) -> bool:
        """Tell whether this is another order, known before, written again.

        An operator may write an order twice, and writes it again once the
        store has lost it, when its entry gets another number.
        """
        if self.version != known.version:
            return False
        return self.order == known.order or self.era > known.era


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A host as it announces itself to the other hosts.

    Attributes:
        public_address: Address for clients, ``ip:port``.
        internal_address: Address for requests of other hosts, ``ip:port``.
        heartbeat_address: Address at which it receives heartbeats of other
            hosts, ``ip:port``.
        incarnation: Number of this start of the host; a later start mostly has
            a larger one, unless the time of day jumped back.
        link_mbps: Bandwidth of its link, in Mbit/s; 0 if unknown.
    """

    name: str
    data_centre: str
    region: str
    public_address: str = msgspec.field(name="front")
    internal_address: str = msgspec.field(name="internal")
    heartbeat_address: str = msgspec.field(name="words")
    incarnation: int
    link_mbps: float = 0.0
