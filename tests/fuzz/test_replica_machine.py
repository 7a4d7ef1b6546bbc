"""A replica of the store never lacks a change that it claims to have.

Guards against hosts that miss or revert a change because they combine pages,
watches and other hosts' changes that were read at different revisions.
"""

from __future__ import annotations

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from cowslipshift.edge import messages
from cowslipshift.edge import replica as replicas
from cowslipshift.store import interface

HOSTS = 2
KEYS = [f"key-{number}" for number in range(3)]
PAGE_ITEMS = 1

hosts = st.integers(0, HOSTS - 1)


class Store:
    """The history of a store, and reads at the latest revision.

    Attributes:
        era: Rises when the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.era = 1
        self.revision = 1
        self.events: list[interface.Item] = []

    def come_back(self, lost: int) -> None:
        """Lose the last revisions, which are given out again."""
        self.era += 1
        self.revision = max(1, self.revision - lost)
        self.events = [
            event for event in self.events if event.revision <= self.revision
        ]

    def write(self, keys: list[str], is_deletion: bool) -> None:
        """Change several keys in one transaction."""
        known = self.list_items(self.revision)
        changed = [key for key in keys if key in known or not is_deletion]
        if not changed:
            return
        self.revision += 1
        value = None if is_deletion else b"%d.%d" % (self.era, self.revision)
        self.events += [
            interface.Item(key, value, self.revision) for key in changed
        ]

    def list_items(self, revision: int) -> dict[str, interface.Item]:
        items: dict[str, interface.Item] = {}
        for event in self.events:
            if event.revision > revision:
                break
            if event.value is None:
                items.pop(event.key, None)
            else:
                items[event.key] = event
        return items

    def list_events(self, after: int) -> tuple[interface.Item, ...]:
        return tuple(e for e in self.events if e.revision > after)


@dataclasses.dataclass
class Read:
    """A read of all items, page by page, by one host."""

    era: int
    revision: int
    items: list[interface.Item]
    last_key: str = ""


class ReplicaMachine(stateful.RuleBasedStateMachine):
    """Hosts whose reads, watches and fetches overlap in every order."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.replicas = [replicas.StoreReplica() for _ in range(HOSTS)]
        self.reads: dict[int, Read] = {}
        self.late: list[tuple[int, messages.Changes]] = []

    @stateful.rule(
        keys=st.lists(
            st.sampled_from(KEYS), min_size=1, max_size=2, unique=True
        ),
        is_deletion=st.booleans(),
    )
    def write(self, keys: list[str], is_deletion: bool) -> None:
        self.store.write(keys, is_deletion)

    @stateful.rule(host=hosts)
    def read_page(self, host: int) -> None:
        first = Read(self.store.era, self.store.revision, [])
        read = self.reads.setdefault(host, first)
        if read.era != self.store.era:
            # The client gives up a read that spans two eras.
            del self.reads[host]
            return
        items = self.store.list_items(self.store.revision)
        rest = sorted(key for key in items if key > read.last_key)
        page = rest[:PAGE_ITEMS]
        read.items += [items[key] for key in page]
        if len(rest) > PAGE_ITEMS:
            read.last_key = page[-1]
            return
        del self.reads[host]
        self.replicas[host].apply_snapshot(read.items, read.revision, read.era)

    @stateful.rule(host=hosts, is_late=st.booleans())
    def watch(self, host: int, is_late: bool) -> None:
        after = self.replicas[host].revision
        if not 0 < after <= self.store.revision:
            # The store answers 410 to a revision that it does not have.
            return
        events = self.store.list_events(after)
        found = messages.Changes(
            self.store.revision, False, events, self.store.era
        )
        self.receive(host, found, is_late)

    @stateful.rule(host=hosts, source=hosts, is_late=st.booleans())
    def fetch(self, host: int, source: int, is_late: bool) -> None:
        after = self.replicas[host].position
        found = self.replicas[source].list_changes(after.revision, after.era)
        self.receive(host, found, is_late)

    @stateful.rule(host=hosts, source=hosts)
    def adopt(self, host: int, source: int) -> None:
        found = self.replicas[source].list_changes(0)
        self.replicas[host].adopt_snapshot(found)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=st.integers(0, 5))
    def deliver_late(self, index: int) -> None:
        host, found = self.late.pop(index % len(self.late))
        self.receive(host, found, is_late=False)

    def receive(
        self, host: int, found: messages.Changes, is_late: bool
    ) -> None:
        replica = self.replicas[host]
        if is_late:
            self.late.append((host, found))
        elif found.is_snapshot:
            if found.position > replica.position:
                replica.apply_snapshot(
                    found.items, found.revision, found.era, found.held
                )
        else:
            replica.apply_changes(found.items, found.revision, found.era)

    @stateful.rule(lost=st.integers(1, 4))
    def lose(self, lost: int) -> None:
        self.store.come_back(lost)

    @stateful.rule(host=hosts)
    def restart(self, host: int) -> None:
        self.replicas[host] = replicas.StoreReplica()
        self.reads.pop(host, None)
        self.late = [entry for entry in self.late if entry[0] != host]

    @stateful.invariant()
    def check_items(self) -> None:
        """Each item is as it was at the replica's revision, or later."""
        for replica in self.replicas:
            if not replica.revision or replica.era != self.store.era:
                continue
            items = {item.key: item for item in replica.list_changes(0).items}
            states = [
                self.store.list_items(revision)
                for revision in range(
                    replica.revision, self.store.revision + 1
                )
            ]
            for key in KEYS:
                allowed = [state.get(key) for state in states]
                assert items.get(key) in allowed, (key, replica.revision)


TestReplicas = ReplicaMachine.TestCase
