"""Answers look-ups, in which callers ask which hosts to use."""

from __future__ import annotations

import collections
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing
from cowslipshift.routing import exceptions
from cowslipshift.telemetry import logs
from cowslipshift.topology import blocks

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift.topology import index as indexes

MAX_HOSTS = 4
MAX_CACHED_ANSWERS = 50_000
CACHE_TTL_S = 1.0
"""Kept short, so that answers follow traffic shifts."""


class HostEntry(msgspec.Struct, frozen=True):
    """Host in the answer to a look-up."""

    name: str
    url: str
    region: str
    data_centre: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """The answer to a look-up.

    Attributes:
        service: Service that was asked for.
        hosts: Hosts to use, best first.
        lifetime_s: Seconds for which the caller may cache the answer.
        home: Home data centre to name in idempotency keys.
        revision: Revision of the configuration that was used.
    """

    service: str
    hosts: list[HostEntry]
    lifetime_s: float
    home: str
    revision: int


class HostView(Protocol):
    """Membership and reachability of hosts."""

    def is_leaving(self, host: str) -> bool:
        """Return whether a host is leaving or has left."""

    def is_reachable(self, host: str) -> bool:
        """Return whether a host is linked to this one, or is this host."""


class LookupService:
    """Computes answers to look-ups and caches them for a short time.

    Args:
        region: Region of this host, used as the origin of client blocks that
            the configuration does not list.
        host_view: Membership and reachability of hosts.
        order_regions: Returns regions in order of preference for a
            configuration, service, client block, origin region and Unix time
            in seconds.
    """

    def __init__(
        self,
        region: str,
        host_view: HostView,
        order_regions: Callable[
            [indexes.ConfigurationIndex, str, str, str, float], list[str]
        ],
    ) -> None:
        self._region = region
        self._host_view = host_view
        self._order_regions = order_regions
        self._log = logs.EventLog("directory")
        self._config_index: indexes.ConfigurationIndex | None = None
        self._cache: collections.OrderedDict[
            tuple[str, str], tuple[float, bytes]
        ] = collections.OrderedDict()

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration and clear the cache."""
        self._config_index = config_index
        self._cache.clear()

    def clear_cache(self) -> None:
        """Drop all cached answers, as after a change of membership."""
        self._cache.clear()

    def answer(
        self, service: str, block: str, now: float, wall_s: float
    ) -> bytes:
        """Return the answer to a look-up as JSON.

        Args:
            service: Name of the service.
            block: Client address, or client block in CIDR notation.
            now: Monotonic time in seconds.
            wall_s: Unix time in seconds.

        Raises:
            LookupRefusedError: The service is unknown, the block is
                malformed, or this host has no configuration yet.
        """
        cached = self._cache.get((service, block))
        if cached is not None and now < cached[0]:
            return cached[1]
        raw = msgspec.json.encode(self._compute(service, block, wall_s))
        self._cache[service, block] = (now + CACHE_TTL_S, raw)
        if len(self._cache) > MAX_CACHED_ANSWERS:
            self._cache.popitem(last=False)
        return raw

    def _compute(
        self, service: str, block: str, wall_s: float
    ) -> LookupAnswer:
        config_index = self._config_index
        if config_index is None:
            raise exceptions.LookupRefusedError(
                503, "no_configuration", "this host has no configuration yet"
            )
        if config_index.services.find_service(service) is None:
            raise exceptions.LookupRefusedError(
                404, "service_unknown", f"there is no service '{service}'"
            )
        try:
            block = blocks.get_client_block(block.partition("/")[0])
            origin = config_index.blocks.find_region(block) or self._region
        except ValueError as error:
            raise exceptions.LookupRefusedError(
                400, "block_malformed", str(error)
            ) from error
        names = self._rank_hosts(config_index, service, block, origin, wall_s)
        lifetime_s = config_index.settings.resolve(
            "lookup_lifetime_s", wall_s, service=service, region=origin
        )
        answer = LookupAnswer(
            service=service,
            hosts=[_describe_host(config_index, name) for name in names],
            lifetime_s=lifetime_s,
            home=_choose_home(config_index, service, names),
            revision=config_index.revision,
        )
        self._log.info(
            "lookup",
            service=service,
            block=block,
            origin=origin,
            hosts=",".join(names),
        )
        return answer

    def _rank_hosts(
        self,
        config_index: indexes.ConfigurationIndex,
        service: str,
        block: str,
        origin: str,
        wall_s: float,
    ) -> list[str]:
        reachable: list[str] = []
        unreachable: list[str] = []
        for region in self._order_regions(
            config_index, service, block, origin, wall_s
        ):
            hosts = [
                host
                for centre in config_index.fleet.regions[region].data_centres
                for host in centre.hosts
                if not self._host_view.is_leaving(host)
            ]
            for host in hashing.rank_members(f"{service}|{block}", hosts):
                if self._host_view.is_reachable(host):
                    reachable.append(host)
                else:
                    unreachable.append(host)
        return (reachable + unreachable)[:MAX_HOSTS]


def _describe_host(
    config_index: indexes.ConfigurationIndex, name: str
) -> HostEntry:
    entry = config_index.fleet.hosts[name]
    region = config_index.fleet.data_centres[entry.data_centre].region
    return HostEntry(name, entry.url, region, entry.data_centre)


def _choose_home(
    config_index: indexes.ConfigurationIndex, service: str, hosts: list[str]
) -> str:
    """Return the data centre of the first host whose centre has servers."""
    centres = config_index.fleet.list_centres(service)
    for host in hosts:
        centre = config_index.fleet.hosts[host].data_centre
        if centre in centres:
            return centre
    return centres[0] if centres else ""
