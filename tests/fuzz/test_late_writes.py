"""Hosts believe of a server what it said last, whatever the store does.

The store executes some writes late, by an earlier start of the server or from
before its removal. Guards against servers that come back by an older word, and
against servers that stay away although they registered anew.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from cowslipshift.edge import replica as replicas
from cowslipshift.platform import names
from cowslipshift.platform import translation
from cowslipshift.standins import platformbackend
from cowslipshift.store import interface
from tests import builders

SERVER = "s"
KEY = names.BACKEND_PREFIX + SERVER

SAY, HOLD, EXECUTE, REMOVE, RESTART = range(5)
steps = st.lists(
    st.sampled_from((SAY, HOLD, HOLD, EXECUTE, EXECUTE, REMOVE, RESTART)),
    max_size=14,
)


class Store:
    """The history of one key, and the server that writes it.

    Attributes:
        believed: What the server said last, of what was executed; ``None`` if
            it was removed since.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.events: list[interface.Item] = []
        self.believed: bytes | None = None
        self._newest = (0, 0)
        self._held: list[bytes] = []
        self._server = platformbackend.PlatformBackendStandIn(SERVER, 3)
        self._born = 1

    def play(self, step: int) -> None:
        """Do one step."""
        if step == SAY:
            self._execute(self._build_word())
        elif step == HOLD:
            self._held.append(self._build_word())
        elif step == EXECUTE and self._held:
            self._execute(self._held.pop(0))
        elif step == REMOVE and self.events and self.events[-1].value:
            self._append(None)
            self.believed = None
        elif step == RESTART:
            self._born += 1
            self._server = platformbackend.PlatformBackendStandIn(SERVER, 3)

    def _build_word(self) -> bytes:
        raw = self._server.build_entry("10.0.0.1:80", "sheets", "north-a")
        word = msgspec.json.decode(raw)
        word["born"] = self._born
        if word["status"]["seq"] % 3 == 0:
            word["status"]["state"] = "draining"
        return msgspec.json.encode(word)

    def _execute(self, raw: bytes) -> None:
        word = msgspec.json.decode(raw)
        order = word["born"], word["status"]["seq"]
        if order >= self._newest:
            self._newest = order
            self.believed = raw
        self._append(raw)

    def _append(self, raw: bytes | None) -> None:
        self.revision += 1
        self.events.append(interface.Item(KEY, raw, self.revision))


class Host:
    """A host's replica and what it makes of it."""

    def __init__(self) -> None:
        self.replica = replicas.StoreReplica(self._apply)
        self.balancer = builders.build_balancer()

    def follow(self, store: Store) -> None:
        """Apply all changes since the last ones, each of them."""
        new = [e for e in store.events if e.revision > self.replica.revision]
        self.replica.apply_changes(new, store.revision)

    def fetch(self, other: Host) -> None:
        """Apply what another host passes on: the last change of a key."""
        found = other.replica.list_changes(self.replica.revision)
        apply = (
            self.replica.apply_snapshot
            if found.is_snapshot
            else self.replica.apply_changes
        )
        apply(found.items, found.revision)

    def _apply(self, item: interface.Item) -> bool:
        change = translation.translate_item(item)
        assert change is not None
        if self.balancer.is_outdated(change, 1.0):
            return True
        self.balancer.apply(change, 1.0)
        return False

    def check(self, store: Store) -> None:
        """Check that the host believes what the server said last."""
        state = self.balancer.inventory.by_id.get(SERVER)
        if store.believed is None:
            assert state is None
            return
        word = msgspec.json.decode(store.believed)
        assert state is not None
        assert state.entry.started_ms == word["born"]
        assert state.entry.sequence == word["status"]["seq"]
        assert state.is_draining == (word["status"]["state"] == "draining")


@given(steps)
def test_host_that_sees_each_change_believes_the_last_word(
    played: list[int],
) -> None:
    store, host = Store(), Host()
    for step in played:
        store.play(step)
        host.follow(store)
        host.check(store)


@given(st.lists(st.tuples(steps, st.booleans()), max_size=6))
def test_host_that_fetches_changes_believes_the_last_word(
    rounds: list[tuple[list[int], bool]],
) -> None:
    """Each round is some steps, and whether the second host fetches then."""
    store, source, host = Store(), Host(), Host()
    for played, fetches in rounds:
        for step in played:
            store.play(step)
        source.follow(store)
        source.check(store)
        if fetches:
            host.fetch(source)
            host.check(store)
