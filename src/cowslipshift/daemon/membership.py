"""Registration of this process, and fencing within its data centre."""

from __future__ import annotations

import asyncio
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.store import keys
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.coordination import members
    from cowslipshift.store import client as clients

TICK_INTERVAL_S = 0.1
FENCE_CHECK_INTERVAL_S = 2.0
MAX_CLOCK_DIFFERENCE_MS = 2000
"""Largest difference between hosts' clocks. Incarnations are start times in
milliseconds, and a fence covers all processes that started before it.
"""

MAX_RAISE_AGE_S = 10.0
"""Age up to which a process raises its incarnation above the one that peers
know, which an earlier process may have raised. A process older than this has
been replaced.
"""

RESUME_WITHOUT_STORE_AFTER_S = 5.0
"""Time after a pause in which peers can report that they removed this host,
if the store cannot be read.
"""

Fences = dict[str, int]
"""Fenced incarnations by host, the value of a data centre's fence key."""


class HostRecord(msgspec.Struct):
    """Record of a host in the store.

    Attributes:
        incarnation: Incarnation of the last process.
        state: ``running``, or ``stopped`` after a graceful shutdown.
        at_ms: Unix milliseconds of the last change.
    """

    incarnation: int
    state: str
    at_ms: int


class Registration(msgspec.Struct, frozen=True):
    """Result of registering this process in the store.

    Attributes:
        incarnation: Incarnation of this process.
        is_clean: Whether nothing of an earlier process can still be running.
        is_first: Whether there was no earlier process.
    """

    incarnation: int
    is_clean: bool
    is_first: bool


class TickListener(Protocol):
    """Component that is updated at each membership tick."""

    def tick(self, now: float) -> None:
        """Update to the present membership."""


async def register_host(
    store: clients.StoreClient, host: str, wall_s: float
) -> Registration:
    """Record in the store that this process has started.

    If the store cannot be reached, nothing is known of earlier processes,
    and the host waits before it uses resources that they may have held.
    """
    log = logs.EventLog("membership")
    incarnation = int(wall_s * 1000)
    try:
        stored = await store.get_key(keys.HOSTS + host)
        record = _read_record(stored.value) if stored is not None else None
        if record is not None:
            incarnation = max(incarnation, record.incarnation + 1)
        now_ms = int(wall_s * 1000)
        started = HostRecord(incarnation, "running", now_ms)
        swapped = await store.swap_key(
            keys.HOSTS + host,
            msgspec.json.encode(started),
            stored.mod_revision if stored is not None else 0,
        )
    except store_exceptions.StoreError as error:
        log.warn("register_failed", reason=error)
        return Registration(incarnation, is_clean=False, is_first=False)
    is_first = swapped and stored is None
    is_clean = swapped and record is not None and record.state == "stopped"
    log.info(
        "registered", incarnation=incarnation, first=is_first, clean=is_clean
    )
    return Registration(incarnation, is_clean or is_first, is_first)


async def record_stop(
    store: clients.StoreClient, host: str, incarnation: int, wall_s: float
) -> None:
    """Record in the store that this process ended gracefully.

    Raises:
        StoreError: The store cannot be reached.
    """
    stored = await store.get_key(keys.HOSTS + host)
    record = _read_record(stored.value) if stored is not None else None
    if stored is None or record is None or record.incarnation > incarnation:
        return
    stopped = HostRecord(incarnation, "stopped", int(wall_s * 1000))
    await store.swap_key(
        keys.HOSTS + host, msgspec.json.encode(stopped), stored.mod_revision
    )


def _read_record(raw: bytes) -> HostRecord | None:
    try:
        return msgspec.json.decode(raw, type=HostRecord)
    except msgspec.DecodeError:
        return None


class MembershipManager:
    """Updates the membership view, fences silent peers and applies fences.

    Args:
        data_centre: This host's data centre.
        clock: Source of the current time.
        membership_view: Membership of the data centre.
        store: The platform's store.
        on_superseded: Called when a later process of this host has started.
    """

    def __init__(
        self,
        data_centre: str,
        clock: clocks.Clock,
        membership_view: members.MembershipView,
        store: clients.StoreClient,
        on_superseded: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._membership_view = membership_view
        self._store = store
        self._on_superseded = on_superseded
        self._key = keys.FENCES + data_centre
        self._tick_listeners: list[TickListener] = []
        self._pause_listeners: list[Callable[[], None]] = []
        self._log = logs.EventLog("membership")
        self._was_suspended = False
        self._started_s = clock.now()

    def add_tick_listener(self, listener: TickListener) -> None:
        """Add a component that is updated at each tick."""
        self._tick_listeners.append(listener)

    def add_pause_listener(self, listener: Callable[[], None]) -> None:
        """Add a function to call when the process finds that it was paused."""
        self._pause_listeners.append(listener)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick_once()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick_once(self) -> None:
        """Update the membership view, then all tick listeners."""
        now = self._clock.now()
        self._membership_view.tick(now)
        if self._membership_view.is_superseded():
            if now - self._started_s < MAX_RAISE_AGE_S:
                self._membership_view.raise_incarnation(now)
            else:
                self._on_superseded()
        suspended = self._membership_view.is_suspended
        if suspended and not self._was_suspended:
            self._log.warn("paused")
            for listener in self._pause_listeners:
                listener()
        self._was_suspended = suspended
        before = self._membership_view.incarnation
        self._membership_view.try_resume(now, store_cleared=False)
        if self._membership_view.incarnation != before:
            self._log.warn(
                "rejoining", incarnation=self._membership_view.incarnation
            )
        for tick_listener in self._tick_listeners:
            tick_listener.tick(now)

    async def run_fence_checks(self) -> None:
        """Read and write fences when that is needed, until cancelled."""
        while True:
            await asyncio.sleep(FENCE_CHECK_INTERVAL_S)
            now = self._clock.now()
            needed = self._membership_view.needs_fence_check(now)
            if needed or self._membership_view.is_suspended:
                await self._check_fences()

    async def _check_fences(self) -> None:
        cleared = False
        try:
            stored = await self._store.get_key(self._key)
            cleared = True
            fences = _read_fences(stored.value if stored else b"{}")
            self._apply_fences(fences)
            fence = int(self._clock.wall() * 1000) + MAX_CLOCK_DIFFERENCE_MS
            new_fences = {
                name: max(fence, fences.get(name, 0) + 1)
                for name in self._membership_view.find_fence_candidates(
                    self._clock.now()
                )
            }
            if new_fences and not self._membership_view.is_suspended:
                await self._write_fences(fences | new_fences, stored)
                self._apply_fences(fences | new_fences)
                self._log.warn("fenced", hosts=",".join(sorted(new_fences)))
        except store_exceptions.StoreError as error:
            self._log.info("fences_unread", reason=error)
            self._membership_view.record_store_failure(self._clock.now())
        now = self._clock.now()
        waited = (
            self._membership_view.measure_suspension(now)
            > RESUME_WITHOUT_STORE_AFTER_S
        )
        self._membership_view.try_resume(now, store_cleared=cleared or waited)

    async def _write_fences(
        self, fences: Fences, stored: clients.KeyValue | None
    ) -> None:
        revision = stored.mod_revision if stored is not None else 0
        swapped = await self._store.swap_key(
            self._key, msgspec.json.encode(fences), revision
        )
        if not swapped:
            raise store_exceptions.StoreError(
                "another host changed the fence record"
            )

    def _apply_fences(self, fences: Fences) -> None:
        now = self._clock.now()
        for name, incarnation in fences.items():
            self._membership_view.record_fence(name, incarnation, now)


def _read_fences(raw: bytes) -> Fences:
    try:
        return msgspec.json.decode(raw, type=Fences)
    except msgspec.DecodeError as error:
        raise store_exceptions.StoreAnswerError(
            f"the fence record is malformed: {error}"
        ) from error
