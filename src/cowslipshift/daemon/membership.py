"""This host's part in the membership of its data centre."""

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
"""Largest difference between hosts' clocks. Numbers of processes are the
milliseconds of their start, and a fence covers all that began before it.
"""

MAX_RAISE_AGE_S = 10.0
"""Age up to which a process outranks the number that peers know, which a
former process may have raised; an older one has been replaced.
"""

RESUME_WITHOUT_STORE_AFTER_S = 5.0
"""Time after a pause in which peers can say that they removed this host,
where the store cannot be asked.
"""

Fences = dict[str, int]
"""Fenced incarnations by host, the value of a data centre's fence key."""


class HostRecord(msgspec.Struct):
    """What the store keeps of a host.

    Attributes:
        incarnation: Number of the last process.
        state: ``running``, or ``stopped`` after a graceful shutdown.
        at_ms: Unix milliseconds of the last change.
    """

    incarnation: int
    state: str
    at_ms: int


class Registration(msgspec.Struct, frozen=True):
    """How this process begins.

    Attributes:
        incarnation: Its number.
        is_clean: Whether nothing of an earlier process can be running.
        is_first: Whether there was no earlier process at all.
    """

    incarnation: int
    is_clean: bool
    is_first: bool


class TickListener(Protocol):
    """Something that follows the membership at each tick."""

    def tick(self, now: float) -> None:
        """Follow the membership."""


async def register_host(
    store: clients.StoreClient, host: str, wall_s: float
) -> Registration:
    """Record in the store that a process of this host begins.

    Without the store nothing is known of earlier processes, and the host
    waits before it uses what they may have held.
    """
    log = logs.EventLog("membership")
    number = int(wall_s * 1000)
    try:
        known = await store.get_key(keys.HOSTS + host)
        record = _read_record(known.value) if known is not None else None
        if record is not None:
            number = max(number, record.incarnation + 1)
        now_ms = int(wall_s * 1000)
        fresh = HostRecord(number, "running", now_ms)
        swapped = await store.swap_key(
            keys.HOSTS + host,
            msgspec.json.encode(fresh),
            known.mod_revision if known is not None else 0,
        )
    except store_exceptions.StoreError as error:
        log.warn("register_failed", reason=error)
        return Registration(number, is_clean=False, is_first=False)
    is_first = swapped and known is None
    is_clean = swapped and record is not None and record.state == "stopped"
    log.info("registered", incarnation=number, first=is_first, clean=is_clean)
    return Registration(number, is_clean or is_first, is_first)


async def record_stop(
    store: clients.StoreClient, host: str, incarnation: int, wall_s: float
) -> None:
    """Record in the store that this process ended gracefully.

    Raises:
        StoreError: The store is away.
    """
    known = await store.get_key(keys.HOSTS + host)
    record = _read_record(known.value) if known is not None else None
    if known is None or record is None or record.incarnation > incarnation:
        return
    stopped = HostRecord(incarnation, "stopped", int(wall_s * 1000))
    await store.swap_key(
        keys.HOSTS + host, msgspec.json.encode(stopped), known.mod_revision
    )


def _read_record(raw: bytes) -> HostRecord | None:
    try:
        return msgspec.json.decode(raw, type=HostRecord)
    except msgspec.DecodeError:
        return None


class MembershipManager:
    """Ticks the membership view, fences silent peers and obeys fences.

    Args:
        data_centre: This host's data centre.
        clock: Source of the present time.
        membership_view: The view of the data centre.
        store: The platform's store.
        on_superseded: Called when a later process of this host is known.
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
        self._on_pause: list[Callable[[], None]] = []
        self._log = logs.EventLog("membership")
        self._was_suspended = False
        self._started_s = clock.now()

    def add_tick_listener(self, listener: TickListener) -> None:
        """Tick something with the membership view."""
        self._tick_listeners.append(listener)

    def add_pause_listener(self, listener: Callable[[], None]) -> None:
        """Call a function when this process notices that it was paused."""
        self._on_pause.append(listener)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick_once()
            await asyncio.sleep(TICK_INTERVAL_S)

    def tick_once(self) -> None:
        """Bring the membership view and all that follows it up to now."""
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
            for listener in self._on_pause:
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
        """Write and read fences where they are needed, until cancelled."""
        while True:
            await asyncio.sleep(FENCE_CHECK_INTERVAL_S)
            now = self._clock.now()
            needed = self._membership_view.needs_fence_check(now)
            if needed or self._membership_view.is_suspended:
                await self._settle_fences()

    async def _settle_fences(self) -> None:
        cleared = False
        try:
            known = await self._store.get_key(self._key)
            cleared = True
            fences = _read_fences(known.value if known else b"{}")
            self._obey(fences)
            number = int(self._clock.wall() * 1000) + MAX_CLOCK_DIFFERENCE_MS
            wanted = {
                name: max(number, fences.get(name, 0) + 1)
                for name in self._membership_view.find_fence_candidates(
                    self._clock.now()
                )
            }
            if wanted and not self._membership_view.is_suspended:
                await self._write(fences | wanted, known)
                self._obey(fences | wanted)
                self._log.warn("fenced", hosts=",".join(sorted(wanted)))
        except store_exceptions.StoreError as error:
            self._log.info("fences_unread", reason=error)
            self._membership_view.record_store_failure(self._clock.now())
        now = self._clock.now()
        waited = (
            self._membership_view.measure_suspension(now)
            > RESUME_WITHOUT_STORE_AFTER_S
        )
        self._membership_view.try_resume(now, store_cleared=cleared or waited)

    async def _write(
        self, fences: Fences, known: clients.KeyValue | None
    ) -> None:
        revision = known.mod_revision if known is not None else 0
        swapped = await self._store.swap_key(
            self._key, msgspec.json.encode(fences), revision
        )
        if not swapped:
            raise store_exceptions.StoreError("another host wrote fences")

    def _obey(self, fences: Fences) -> None:
        now = self._clock.now()
        for name, number in fences.items():
            self._membership_view.record_fence(name, number, now)


def _read_fences(raw: bytes) -> Fences:
    try:
        return msgspec.json.decode(raw, type=Fences)
    except msgspec.DecodeError as error:
        raise store_exceptions.StoreAnswerError(
            f"the fence record is malformed: {error}"
        ) from error
