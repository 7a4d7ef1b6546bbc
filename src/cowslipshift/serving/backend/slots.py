"""Allocation of the backend server slots that this host owns."""

from __future__ import annotations

import asyncio
import math
from typing import Protocol
from typing import TYPE_CHECKING

from cowslipshift.peers import messages
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import backends
from cowslipshift.serving.backend import fairqueue

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.config import model
    from cowslipshift.coordination import ownership
    from cowslipshift.serving import calls
    from cowslipshift.topology import index as indexes

HOLD_MARGIN_S = 0.25
"""Time in which a backend server notices that a deadline has passed."""

ServiceVersion = tuple[str, str]
"""A service and a version; an empty version stands for any."""


class VersionGuard(Protocol):
    """Decides which servers may run a request for a version."""

    def may_run(self, server: model.Server, version: str) -> bool:
        """Tell whether a server may run requests for it right now."""


class SlotAllocator:
    """Allocates slots to requests, fairly by account.

    Args:
        host: Name of this host.
        clock: Source of the present time.
        ownership_table: Tells which slots this host owns.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        ownership_table: ownership.OwnershipTable,
    ) -> None:
        self._host = host
        self._clock = clock
        self._ownership_table = ownership_table
        self._config_index: indexes.ConfigurationIndex | None = None
        self._region = ""
        self._version_guard: VersionGuard | None = None
        self._leaving: set[str] = set()
        self._backends: dict[str, backends.Backend] = {}
        self._services: dict[str, list[backends.Backend]] = {}
        self._queues: dict[ServiceVersion, fairqueue.FairQueue] = {}
        self._versions: dict[str, set[str]] = {}

    def set_version_guard(self, version_guard: VersionGuard) -> None:
        """Set the guard that is asked before a server gets a request."""
        self._version_guard = version_guard

    def set_server_leaving(self, server: str, is_leaving: bool) -> None:
        """Record whether the platform lists a server as leaving."""
        if is_leaving:
            self._leaving.add(server)
        else:
            self._leaving.discard(server)

    def apply(
        self, config_index: indexes.ConfigurationIndex, data_centre: str
    ) -> None:
        """Apply a new configuration."""
        now = self._clock.now()
        is_first = self._config_index is None
        self._config_index = config_index
        centre = config_index.fleet.data_centres.get(data_centre)
        self._versions = {}
        for server in config_index.configuration.servers:
            versions = self._versions.setdefault(server.service, set())
            versions.add(server.version)
        known, self._backends = self._backends, {}
        self._services = {}
        if centre is None:
            return
        self._region = centre.region
        for service, servers in centre.servers.items():
            members = self._services[service] = []
            for server in servers:
                backend = known.get(server.name)
                if backend is None:
                    backend = backends.Backend(server, now, not is_first)
                elif backend.server.version != server.version:
                    backend.ramp_start_s = now
                backend.server = server
                self._backends[server.name] = backend
                members.append(backend)

    def count_used_slots(self, server: str) -> int:
        """Return the slots of a server that this host has in use."""
        backend = self._backends.get(server)
        return backend.count_used_slots(self._clock.now()) if backend else 0

    def count_in_flight(self) -> int:
        """Return the requests in flight to backend servers."""
        return sum(backend.in_flight for backend in self._backends.values())

    def measure_loads(self) -> list[messages.ServiceLoad]:
        """Return the load of the owned slots by service and version."""
        loads = []
        for service in self._services:
            loads.append(self.measure_load(service))
            versions = self._versions.get(service, set())
            if len(versions) > 1:
                loads.extend(
                    self.measure_load(service, version)
                    for version in sorted(versions)
                )
        return [
            load for load in loads if load.usable or load.in_use or load.queued
        ]

    def measure_load(
        self, service: str, version: str = ""
    ) -> messages.ServiceLoad:
        """Return the load of the owned slots of a service.

        Args:
            service: The service.
            version: Only servers that may run this version.
        """
        now = self._clock.now()
        usable = used = 0
        for backend, limit in self._list_limits((service, version), now):
            usable += limit
            used += min(limit, backend.count_used_slots(now))
        queued = sum(
            len(queue)
            for (name, queued_version), queue in self._queues.items()
            if name == service and version in ("", queued_version)
        )
        name = name_load(service, version)
        return messages.ServiceLoad(name, usable, used, queued)

    def serve_queues(self) -> None:
        """Give free slots to waiting requests."""
        for service_version in list(self._queues):
            self._serve_queue(service_version)

    async def acquire(self, call: calls.Call) -> backends.Backend:
        """Take a slot, waiting for one if it can come free in time.

        Raises:
            Refusal: There is no slot in time; the request was not run.
        """
        service_version = (call.service, call.version)
        queue = self._queues.setdefault(service_version, fairqueue.FairQueue())
        if len(queue) == 0:
            backend = self._take_slot(service_version, self._clock.now())
            if backend is not None:
                return backend
        return await self._wait(call, service_version, queue)

    def release(self, backend: backends.Backend) -> None:
        """Release a slot and serve the queues of its service."""
        backend.in_flight -= 1
        service = backend.server.service
        for service_version in list(self._queues):
            if service_version[0] == service:
                self._serve_queue(service_version)

    def count_ejected(self, service: str, now: float) -> tuple[int, int]:
        """Return the numbers of ejected and of all servers of a service."""
        members = self._services.get(service, [])
        return sum(now < m.ejected_until_s for m in members), len(members)

    async def _wait(
        self,
        call: calls.Call,
        service_version: ServiceVersion,
        queue: fairqueue.FairQueue,
    ) -> backends.Backend:
        now = self._clock.now()
        weight = self._require_config_index().accounts.get_rate_share(
            call.account
        )
        self._check_queue_capacity(call, service_version, queue, weight, now)
        waiter = queue.push(call.account, weight, call.deadline_s)
        self._serve_queue(service_version)
        try:
            async with asyncio.timeout(call.deadline_s - now):
                backend = await asyncio.shield(waiter.ready)
        except TimeoutError as error:
            self._stop_waiting(waiter, queue)
            raise refusals.refuse_expired() from error
        except asyncio.CancelledError:
            self._stop_waiting(waiter, queue)
            raise
        assert isinstance(backend, backends.Backend)
        return backend

    def _check_queue_capacity(
        self,
        call: calls.Call,
        service_version: ServiceVersion,
        queue: fairqueue.FairQueue,
        weight: float,
        now: float,
    ) -> None:
        """Refuse a request early that would miss its deadline in the queue."""
        limits = self._list_limits(service_version, now)
        slots = sum(limit for _, limit in limits)
        if slots == 0:
            raise refusals.refuse_overloaded(
                f"host {self._host} has no slots of service {call.service}"
            )
        per_slot = self._require_config_index().settings.resolve(
            "queue_per_slot", self._clock.wall(), service=call.service
        )
        if not queue.allows(call.account, weight, int(per_slot * slots)):
            raise refusals.refuse_overloaded(
                "too many requests are waiting already"
            )
        latency_s = max(backend.latency_s for backend, _ in limits)
        rounds = 1 + math.floor(len(queue) / slots)
        if now + latency_s * (rounds + 1) > call.deadline_s:
            raise refusals.refuse_overloaded(
                "the queue is too long for the deadline",
                retry_after_ms=int(latency_s * rounds * 1000) + 1,
            )

    def _stop_waiting(
        self, waiter: fairqueue.Waiter, queue: fairqueue.FairQueue
    ) -> None:
        ready = waiter.ready
        if not ready.done():
            ready.cancel()
            queue.remove(waiter)
        elif not ready.cancelled() and ready.exception() is None:
            backend = ready.result()
            assert isinstance(backend, backends.Backend)
            self.release(backend)

    def _list_limits(
        self, service_version: ServiceVersion, now: float
    ) -> list[tuple[backends.Backend, int]]:
        """Return the servers that may run a request and their usable slots."""
        if not self._ownership_table.may_act(now):
            return []
        service, version = service_version
        limits = []
        for backend in self._services.get(service, ()):
            server = backend.server
            if version and not self._may_run(server, version):
                continue
            usable = self._ownership_table.count_owned(
                backend.resource, server.slots, now
            )
            if usable > 0:
                limits.append(
                    (backend, self._limit_slots(backend, usable, now))
                )
        return limits

    def _may_run(self, server: model.Server, version: str) -> bool:
        if self._version_guard is None:
            return server.version == version
        return self._version_guard.may_run(server, version)

    def _limit_slots(
        self, backend: backends.Backend, usable: int, now: float
    ) -> int:
        if backend.is_unavailable(now) or backend.server.name in self._leaving:
            return 0
        if backend.ramp_start_s is None:
            return usable
        ramp_s = self._require_config_index().settings.resolve(
            "cold_ramp_s",
            self._clock.wall(),
            service=backend.server.service,
            server=backend.server.name,
        )
        return backend.limit_slots(usable, now, ramp_s)

    def _take_slot(
        self, service_version: ServiceVersion, now: float
    ) -> backends.Backend | None:
        """Take a slot on the least busy server, if any is free."""
        best: backends.Backend | None = None
        best_score = (1.0, 0.0)
        for backend, limit in self._list_limits(service_version, now):
            used = backend.count_used_slots(now)
            if used >= limit:
                continue
            score = (used / limit, backend.latency_s)
            if best is None or score < best_score:
                best, best_score = backend, score
        if best is None or not self._has_region_capacity(now):
            return None
        best.in_flight += 1
        return best

    def _has_region_capacity(self, now: float) -> bool:
        """Tell whether this host's share of the region's capacity has room.

        The capacity is divided in proportion to slots, and each server's
        slots have one owner, so that the hosts' shares never sum to more
        than the capacity.
        """
        region = self._require_config_index().fleet.regions.get(self._region)
        if region is None or region.capacity is None:
            return True
        owned = used = 0
        for backend in self._backends.values():
            owned += self._ownership_table.count_usable(
                backend.resource, backend.server.slots, now
            )
            used += backend.count_used_slots(now)
        share = region.capacity * owned // max(1, region.count_slots())
        return used < share

    def _serve_queue(self, service_version: ServiceVersion) -> None:
        queue = self._queues[service_version]
        while len(queue):
            now = self._clock.now()
            backend = self._take_slot(service_version, now)
            if backend is None:
                return
            waiter = queue.pop(now)
            if waiter is None:
                backend.in_flight -= 1
                return
            waiter.ready.set_result(backend)

    def _require_config_index(self) -> indexes.ConfigurationIndex:
        if self._config_index is None:
            raise refusals.refuse_overloaded(
                "this host has no configuration yet"
            )
        return self._config_index


def name_load(service: str, version: str) -> str:
    """Return the name under which a load is reported."""
    return f"{service}@{version}" if version else service


def build_slot_resources(
    config_index: indexes.ConfigurationIndex, data_centre: str
) -> dict[str, float]:
    """Return the slot resources of a data centre with their hold times.

    The hold time, in seconds, is the longest time that a request may run
    plus `HOLD_MARGIN_S`.
    """
    centre = config_index.fleet.data_centres.get(data_centre)
    if centre is None:
        return {}
    hold_times_s = {}
    for name, servers in centre.servers.items():
        service = config_index.services.find_service(name)
        assert service is not None
        hold_s = service.max_deadline_ms / 1000 + HOLD_MARGIN_S
        for server in servers:
            hold_times_s[backends.name_resource(server.name)] = hold_s
    return hold_times_s
