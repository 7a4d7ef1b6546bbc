"""The registered backend servers and the evacuated data centres."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from cowslipshift.steering import backends

if TYPE_CHECKING:
    from cowslipshift.steering import changes
    from cowslipshift.steering import model

RESTORED_COLD_S = 3.0
"""How long the servers of a data centre count as cold after its evacuation, as
they may have become cold meanwhile."""

STORE_RECOVERY_S = 2.2
"""How long after a store outage expired entries may be registered again; the
platform states about two seconds."""

LATE_WRITE_S = 15.0
"""How long after its removal the last entry of a server is remembered. The
store may execute a write that got no answer seconds later."""

MAX_REMOVED = 10_000
"""Removed servers that are remembered; the earliest ones go first."""


class Inventory:
    """Backend servers by service, and the evacuated data centres.

    Attributes:
        generation: Increases with each server that is added or removed and
            each data centre that is evacuated or restored.
        evacuated: Data centres that get no requests.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.evacuated: set[str] = set()
        self._by_id: dict[str, backends.BackendState] = {}
        self._services: dict[str, list[backends.BackendState]] = {}
        self._data_centres_by_address: dict[str, str] = {}
        self._expired: set[str] = set()
        self._removed: collections.OrderedDict[
            str, tuple[model.Backend, float]
        ] = collections.OrderedDict()
        self._removed_before_era: set[str] = set()
        self._store_recovery_until_s = -1e9

    @property
    def by_id(self) -> dict[str, backends.BackendState]:
        """The servers by id."""
        return self._by_id

    def list_servers(self, service: str) -> list[backends.BackendState]:
        """Return the servers of a service."""
        return self._services.get(service, [])

    def find_data_centre(self, address: str) -> str | None:
        """Return the data centre of the server at an address."""
        return self._data_centres_by_address.get(address)

    def record_store_outage(self, now: float) -> None:
        """Record that the store is unreachable, so entries may expire."""
        self._store_recovery_until_s = now + STORE_RECOVERY_S

    def begin_era(self, now: float) -> None:
        """Record that the store has come back from a copy.

        Entries that it lost may be registered again. One that was removed
        after the copy was taken is back there, which tells nothing of its
        server.
        """
        self.record_store_outage(now)
        self._removed_before_era = set(self._removed)

    def drop_expired(self, now: float) -> list[str]:
        """Drop servers whose entries expired and were not registered again.

        Nothing is dropped before the store has had time to recover.
        """
        if now < self._store_recovery_until_s:
            return []
        expired = list(self._expired)
        self._expired.clear()
        for identity in expired:
            self._drop(identity, now)
        return expired

    def is_outdated(self, entry: model.Backend, now: float) -> bool:
        """Tell whether a newer entry of the server has been applied.

        The store may execute a write after others that were sent later. The
        entry that it then holds is not the server's last word.
        """
        known = self._by_id.get(entry.id)
        if known is not None:
            return entry.is_older_than(known.entry)
        last, removed_s = self._removed.get(entry.id, (None, 0.0))
        if last is None:
            return False
        if entry.id in self._removed_before_era and last.started_ms:
            return not last.is_older_than(entry)
        if now - removed_s > LATE_WRITE_S:
            return False
        return entry.is_older_than(last)

    def apply_entry(self, entry: model.Backend, now: float) -> bool:
        """Apply a server's registration; return whether it is a change.

        An outdated one is not applied.
        """
        if self.is_outdated(entry, now):
            return False
        self._expired.discard(entry.id)
        self._removed.pop(entry.id, None)
        self._removed_before_era.discard(entry.id)
        known = self._by_id.get(entry.id)
        cold_until_s = now + entry.cold_s
        if known is None or known.entry.started_ms != entry.started_ms:
            state = backends.BackendState(entry, now, cold_until_s)
            self._by_id[entry.id] = state
            self._rebuild()
            return True
        is_same = known.entry.is_draining == entry.is_draining
        if entry.cold_s > 0.0:
            if not known.is_cold(now):
                known.clear_warm_objects()
            known.cold_until_s = cold_until_s
        known.entry = entry
        known.is_draining = entry.is_draining
        return not is_same

    def remove_entry(self, identity: str, now: float) -> bool:
        """Handle the removal of an entry; return whether it was known."""
        if identity not in self._by_id:
            return False
        if now < self._store_recovery_until_s:
            self._expired.add(identity)
            return True
        self._drop(identity, now)
        return True

    def apply_evacuation(
        self, change: changes.EvacuationChange, now: float
    ) -> bool:
        """Evacuate or restore a data centre; return whether it is a change."""
        name = change.data_centre
        if change.is_active == (name in self.evacuated):
            return False
        self.generation += 1
        if change.is_active:
            self.evacuated.add(name)
            return True
        self.evacuated.discard(name)
        for state in self._by_id.values():
            if state.entry.data_centre == name:
                state.clear_warm_objects()
                state.cold_until_s = max(
                    state.cold_until_s, now + RESTORED_COLD_S
                )
        return True

    def _drop(self, identity: str, now: float) -> None:
        state = self._by_id.pop(identity, None)
        if state is None:
            return
        state.is_draining = True
        self._removed[identity] = state.entry, now
        while len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        self._rebuild()

    def _rebuild(self) -> None:
        self.generation += 1
        self._services = {}
        self._data_centres_by_address = {
            state.entry.address: state.entry.data_centre
            for state in self._by_id.values()
        }
        for state in self._by_id.values():
            listed = self._services.setdefault(state.entry.service, [])
            listed.append(state)
