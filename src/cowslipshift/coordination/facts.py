"""Facts spread by gossip: a replicated last-writer-wins map.

The highest version of a fact wins, so that replicas converge whatever the
order and number of deliveries.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


class Fact(msgspec.Struct, frozen=True):
    """A statement about a subject at a version.

    Attributes:
        kind: What it is about, such as ``host_leaving``.
        subject: Name of what it describes, such as a host.
        version: Grows with each statement on the subject.
        value: The statement; of equal versions the larger value wins.
    """

    kind: str
    subject: str
    version: int
    value: str

    def supersedes(self, other: Fact) -> bool:
        """Return whether this fact replaces another on the same subject."""
        return (self.version, self.value) > (other.version, other.value)


class FactTable:
    """Latest known fact of each kind and subject.

    Merging is commutative, associative and idempotent, so that facts may
    arrive late, twice and in any order.

    Args:
        on_change: Called with each fact that is new to this table.
    """

    def __init__(
        self, on_change: Callable[[Fact], None] | None = None
    ) -> None:
        self._facts: dict[tuple[str, str], Fact] = {}
        self._on_change = on_change
        self._digest = 0

    @property
    def digest(self) -> int:
        """Hash of all facts, equal for tables with the same facts."""
        return self._digest

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Merge facts and return those that were new."""
        fresh = []
        for fact in facts:
            key = (fact.kind, fact.subject)
            known = self._facts.get(key)
            if known is not None and not fact.supersedes(known):
                continue
            if known is not None:
                self._digest ^= _hash_fact(known)
            self._facts[key] = fact
            self._digest ^= _hash_fact(fact)
            fresh.append(fact)
        if self._on_change is not None:
            for fact in fresh:
                self._on_change(fact)
        return fresh

    def get_fact(self, kind: str, subject: str) -> Fact | None:
        """Return the latest fact on a subject, or ``None``."""
        return self._facts.get((kind, subject))

    def list_facts(self, kind: str | None = None) -> list[Fact]:
        """Return all facts, or those of one kind."""
        return [
            fact
            for fact in self._facts.values()
            if kind is None or fact.kind == kind
        ]

    def drop_facts(self, is_obsolete: Callable[[Fact], bool]) -> None:
        """Remove the facts for which a predicate is true."""
        for key, fact in list(self._facts.items()):
            if is_obsolete(fact):
                del self._facts[key]
                self._digest ^= _hash_fact(fact)


def _hash_fact(fact: Fact) -> int:
    return hashing.hash_text(
        f"{fact.kind}\0{fact.subject}\0{fact.version}\0{fact.value}"
    )
