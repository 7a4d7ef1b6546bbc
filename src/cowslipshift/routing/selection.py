"""Selection of the host for a request."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.serving import calls
from cowslipshift.serving.backend import slots

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator

    from cowslipshift.peers import messages
    from cowslipshift.routing import loads
    from cowslipshift.topology import index as indexes


class Candidate(msgspec.Struct, frozen=True):
    """A host that may run a request.

    Attributes:
        host: Name of the host.
        region: Region of the host; empty if the request must run on this
            host.
        scope: How far the host may forward the request.
        has_free_slot: Whether the host probably has a free slot.
    """

    host: str
    region: str
    scope: calls.Scope
    has_free_slot: bool


class Selector:
    """Orders the hosts that may run a request.

    Hosts with a free slot come first, nearest region first. Within a region
    this host precedes the others, since that saves a hop. Hosts without a
    free slot follow, nearest region first, ordered by requests per slot.

    Args:
        host: Name of this host.
        data_centre: Data centre of this host.
        load_table: Load of other hosts.
        measure_own_load: Returns this host's load for a service and version.
        is_linked: Returns whether a link to a host is open. A linked host
            that has not reported its load yet is tried as well.
        seed: Seed of the random tie-breaking.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        load_table: loads.LoadTable,
        measure_own_load: Callable[[str, str], messages.ServiceLoad],
        is_linked: Callable[[str], bool],
        seed: int,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._load_table = load_table
        self._measure_own_load = measure_own_load
        self._is_linked = is_linked
        self._random = random.Random(seed)

    def list_candidates(
        self,
        config_index: indexes.ConfigurationIndex,
        call: calls.Call,
        places: list[tuple[str, list[str]]],
        now: float,
    ) -> list[Candidate]:
        """Return the hosts to try, best first.

        Args:
            config_index: Active configuration.
            call: The request.
            places: Regions in order of preference, each with the data
                centres that may run the request.
            now: Monotonic time in seconds.
        """
        if call.scope is calls.Scope.HOST:
            own = self._measure_own_load(call.service, call.version)
            free = own.usable > own.in_use + own.queued
            return [self._build_candidate(self._host, "", free)]
        with_free_slot: list[Candidate] = []
        without_free_slot: list[Candidate] = []
        for region, data_centres in places:
            found = list(
                self._rank_region(
                    config_index, call, region, data_centres, now
                )
            )
            with_free_slot.extend(c for c in found if c.has_free_slot)
            without_free_slot.extend(c for c in found if not c.has_free_slot)
        return with_free_slot + without_free_slot

    def _rank_region(
        self,
        config_index: indexes.ConfigurationIndex,
        call: calls.Call,
        region: str,
        data_centres: list[str],
        now: float,
    ) -> Iterator[Candidate]:
        scored = []
        for name in data_centres:
            near = name == self._data_centre
            if call.scope is calls.Scope.CENTRE and not near:
                continue
            for host in config_index.fleet.data_centres[name].hosts:
                score = self._score(host, call, near, now)
                if score is not None:
                    scored.append((score, host))
        scored.sort()
        for (rank, _, _), host in scored:
            yield self._build_candidate(host, region, rank < 2)

    def _score(
        self, host: str, call: calls.Call, near: bool, now: float
    ) -> tuple[int, float, float] | None:
        """Return rank, load and random tie-breaker; lower is better.

        The rank is 0 for this host with a free slot, 1 for another host with
        a free slot and 2 for a host without one.

        Returns:
            The score, or None if the host cannot run the request.
        """
        tie = self._random.random()
        if host == self._host:
            own = self._measure_own_load(call.service, call.version)
            if own.usable == 0:
                return None
            if own.in_use + own.queued < own.usable:
                return 0, 0.0, tie
            return 2, (own.in_use + own.queued) / own.usable, tie
        name = slots.name_load(call.service, call.version)
        load = self._load_table.get_load(host, name, now)
        if load is None:
            is_new = self._is_linked(host) and not self._load_table.has_report(
                host
            )
            return (2, 1.0, tie) if is_new else None
        distance = 0.0 if near else 0.25
        rank = 1 if load.free_slots > 0 else 2
        return rank, load.requests_per_slot + distance, tie

    def _build_candidate(
        self, host: str, region: str, has_free_slot: bool
    ) -> Candidate:
        return Candidate(host, region, calls.Scope.HOST, has_free_slot)
