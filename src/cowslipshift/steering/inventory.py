"""The backend servers that are registered, and which of them may be used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.steering import backends

if TYPE_CHECKING:
    from cowslipshift.steering import changes
    from cowslipshift.steering import model

EVACUATED_COLD_S = 3.0
"""Servers of a data centre that is taken back may have become cold."""

UNSTABLE_FOR_S = 2.2
"""How long after an outage of the store entries that lapsed may come back;
the platform says about two seconds."""


class Inventory:
    """Backend servers by service, and the data centres that are left.

    Attributes:
        generation: Grows with each server that comes or goes and each data
            centre that is left or taken back.
        evacuated: Data centres that get nothing.
    """

    def __init__(self) -> None:
        self.generation = 0
        self.evacuated: set[str] = set()
        self._by_id: dict[str, backends.BackendState] = {}
        self._services: dict[str, list[backends.BackendState]] = {}
        self._lapsed: set[str] = set()
        self._unstable_until_s = -1e9

    @property
    def by_id(self) -> dict[str, backends.BackendState]:
        """The servers by identity."""
        return self._by_id

    def list_servers(self, service: str) -> list[backends.BackendState]:
        """Return the servers of a service."""
        return self._services.get(service, [])

    def record_store_outage(self, now: float) -> None:
        """Learn that the store is away: entries may lapse meanwhile."""
        self._unstable_until_s = now + UNSTABLE_FOR_S

    def drop_expired(self, now: float) -> list[str]:
        """Drop servers whose entries lapsed and did not come back."""
        if now < self._unstable_until_s:
            return []
        gone = list(self._lapsed)
        self._lapsed.clear()
        for identity in gone:
            self._drop(identity)
        return gone

    def apply_entry(self, entry: model.Backend, now: float) -> bool:
        """Take what a server registered; return whether it is news."""
        self._lapsed.discard(entry.id)
        known = self._by_id.get(entry.id)
        if known is not None and known.entry.started_ms > entry.started_ms:
            return False
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
        """Learn that an entry is gone; return whether it is news."""
        if identity not in self._by_id:
            return False
        if now < self._unstable_until_s:
            self._lapsed.add(identity)
            return True
        self._drop(identity)
        return True

    def apply_evacuation(
        self, change: changes.EvacuationChange, now: float
    ) -> bool:
        """Leave a data centre or take it back; return whether it is news."""
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
                    state.cold_until_s, now + EVACUATED_COLD_S
                )
        return True

    def _drop(self, identity: str) -> None:
        state = self._by_id.pop(identity, None)
        if state is not None:
            state.is_draining = True
            self._rebuild()

    def _rebuild(self) -> None:
        self.generation += 1
        self._services = {}
        for state in self._by_id.values():
            listed = self._services.setdefault(state.entry.service, [])
            listed.append(state)
