"""Registers a host in the store under a lease, so that others find it."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.platform import names
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.edge import watcher as watchers
    from cowslipshift.platform import store as stores
    from cowslipshift.steering import model

LEASE_TTL_S = 6.0
"""A host that has died stays registered for at most this long."""

LEASE_RENEWAL_INTERVAL_S = 2.0

MIN_WRITE_INTERVAL_S = 0.3
"""Two processes under one name would otherwise replace each other's entries
as fast as the store allows."""


MAX_REGISTRATION_DELAY_S = 1.0
"""Time over which the hosts spread that register again."""


class HostRegistration:
    """Keeps a host's entry in the store and renews its lease.

    Args:
        clock: Source of the present time.
        own: The entry to register.
        store: The platform's store.
        watcher: Receives whether the store answers.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        own: model.Member,
        store: stores.PlatformStore,
        watcher: watchers.Watcher,
    ) -> None:
        self._clock = clock
        self._own = own
        self._store = store
        self._watcher = watcher
        self._lease = 0
        self._needs_write = True
        self._has_lost_entry = asyncio.Event()
        self._log = logs.EventLog("announcer")

    async def run(self) -> None:
        """Register the host and renew its lease until cancelled."""
        while True:
            self._has_lost_entry.clear()
            started_s = self._clock.now()
            try:
                await self._renew()
                self._watcher.record_store_answer()
            except store_exceptions.StoreError as error:
                self._watcher.record_store_failure(error, started_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEASE_RENEWAL_INTERVAL_S):
                    await asyncio.sleep(MIN_WRITE_INTERVAL_S)
                    await self._has_lost_entry.wait()

    def record_entry(self, entry: model.Member | None) -> None:
        """Record what the store holds under this host's name.

        The store may execute a write of an earlier start late, and the entry
        then ends with the lease of that start. One that is not this host's own
        is replaced.

        Args:
            entry: The entry; ``None`` if there is none any more.
        """
        if entry == self._own or self._needs_write:
            return
        self._log.warn(
            "entry_lost",
            incarnation=None if entry is None else entry.incarnation,
        )
        self._needs_write = True
        self._has_lost_entry.set()

    def register_again(self) -> None:
        """Register anew, as the store may have lost the lease and the entry.

        The moment is drawn, so that not all hosts write at the same time.
        """
        self._lease = 0
        self._needs_write = True
        asyncio.get_running_loop().call_later(
            random.random() * MAX_REGISTRATION_DELAY_S,
            self._has_lost_entry.set,
        )

    async def deregister(self) -> None:
        """End the lease, if there is one."""
        if not self._lease:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except store_exceptions.StoreError as error:
            self._log.warn("lease_not_ended", reason=error)

    def abandon_lease(self) -> None:
        """Let the lease expire unattended, as a crash does; for tests."""
        self._lease = 0

    async def _renew(self) -> None:
        """Renew the lease, or register anew if it has expired."""
        if self._lease and not await self._store.renew_lease(self._lease):
            self._lease = 0
        if not self._lease:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
            self._needs_write = True
        if self._needs_write:
            await self._write()

    async def _write(self) -> None:
        key = names.MEMBER_PREFIX + self._own.name
        has_written = False
        self._needs_write = False
        try:
            has_written = await self._store.swap_items(
                {}, {key: msgspec.json.encode(self._own)}, self._lease
            )
            if not has_written:
                # The lease has ended meanwhile.
                self._lease = 0
        finally:
            # An entry that was lost while it was written stays noted.
            self._needs_write = self._needs_write or not has_written
