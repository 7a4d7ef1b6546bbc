"""Messages between hosts on a platform and their Cap'n Proto codec."""

from __future__ import annotations

import pathlib
from typing import Any

import capnp
import msgspec

from cowslipshift.edge import exceptions
from cowslipshift.steering import limiters
from cowslipshift.steering import rollouts
from cowslipshift.store import interface

_schema: Any = capnp.load(
    str(pathlib.Path(__file__).with_name("messages.capnp"))
)


MS_PER_S = 1000


class RolloutReport(msgspec.Struct, frozen=True):
    """What one host counted of one roll-out.

    Attributes:
        rejects_new_version: Whether the host stopped using the new version.
    """

    service: str
    order: int
    counts: rollouts.Counts
    rejects_new_version: bool


class Heartbeat(msgspec.Struct, frozen=True):
    """Told by each host to all others, again and again.

    Attributes:
        sequence: Its number; a later one of the same process replaces it.
        is_urgent: Whether whoever passes it on should not wait.
        revision: Store revision that the host has followed up to.
        is_store_reachable: Whether the store answered it lately.
        usages: What accounts were admitted.
        reports: What roll-outs looked like.
    """

    host: str
    incarnation: int
    sequence: int
    revision: int
    is_leaving: bool
    is_urgent: bool
    is_store_reachable: bool
    usages: list[limiters.Usage]
    reports: list[RolloutReport]


class EncodedHeartbeat(msgspec.Struct, frozen=True):
    """A word on its way, as its writer encoded it.

    Attributes:
        age_s: Time since it was written, but for that on the network.
    """

    raw: bytes
    age_s: float = 0.0


class Bundle(msgspec.Struct, frozen=True):
    """One datagram: words of the sender, or that it passes on.

    Attributes:
        sender: The host that sent it.
    """

    sender: str
    heartbeats: list[EncodedHeartbeat]


class Changes(msgspec.Struct, frozen=True):
    """Items of the store that one host passes on to another.

    Attributes:
        is_snapshot: Whether these are all items, not only what changed.
    """

    revision: int
    is_snapshot: bool
    items: tuple[interface.Item, ...]


def encode_heartbeat(word: Heartbeat) -> bytes:
    """Write a word in packed form."""
    message = _schema.Word.new_message(
        host=word.host,
        incarnation=word.incarnation,
        sequence=word.sequence,
        revision=word.revision,
        isLeaving=word.is_leaving,
        isUrgent=word.is_urgent,
        hasStore=word.is_store_reachable,
        usages=[
            {"account": u.account, "admitted": u.admitted, "demand": u.demand}
            for u in word.usages
        ],
        rollouts=[
            {
                "service": r.service,
                "order": r.order,
                "newAnswers": r.counts.new,
                "newBad": r.counts.new_bad,
                "oldAnswers": r.counts.old,
                "oldBad": r.counts.old_bad,
                "condemns": r.rejects_new_version,
            }
            for r in word.reports
        ],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Read a word.

    Raises:
        PeerError: The bytes are none.
    """
    try:
        read = _schema.Word.from_bytes_packed(raw)
        return Heartbeat(
            host=read.host,
            incarnation=read.incarnation,
            sequence=read.sequence,
            revision=read.revision,
            is_leaving=read.isLeaving,
            is_urgent=read.isUrgent,
            is_store_reachable=read.hasStore,
            usages=[
                limiters.Usage(u.account, u.admitted, u.demand)
                for u in read.usages
            ],
            reports=[
                RolloutReport(
                    r.service,
                    r.order,
                    rollouts.Counts(
                        r.newAnswers, r.newBad, r.oldAnswers, r.oldBad
                    ),
                    r.condemns,
                )
                for r in read.rollouts
            ],
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise exceptions.PeerError(
            f"a host sent a malformed word: {error}"
        ) from error


def encode_bundle(bundle: Bundle) -> bytes:
    """Write a bundle; its words are packed already."""
    message = _schema.Bundle.new_message(
        sender=bundle.sender,
        passages=[
            {
                "word": heartbeat.raw,
                "ageMs": round(heartbeat.age_s * MS_PER_S),
            }
            for heartbeat in bundle.heartbeats
        ],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_bundle(raw: bytes) -> Bundle:
    """Read a bundle.

    Raises:
        PeerError: The bytes are none.
    """
    try:
        read = _schema.Bundle.from_bytes_packed(raw)
        return Bundle(
            read.sender,
            [
                EncodedHeartbeat(bytes(passage.word), passage.ageMs / MS_PER_S)
                for passage in read.passages
            ],
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise exceptions.PeerError(
            f"a host sent a malformed bundle: {error}"
        ) from error


def encode_changes(changes: Changes) -> bytes:
    """Write items in packed form."""
    message = _schema.Changes.new_message(
        revision=changes.revision,
        isWhole=changes.is_snapshot,
        items=[
            {
                "key": item.key,
                "value": item.value or b"",
                "revision": item.revision,
                "isDeleted": item.value is None,
            }
            for item in changes.items
        ],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_changes(raw: bytes) -> Changes:
    """Read items.

    Raises:
        PeerError: The bytes are none.
    """
    try:
        read = _schema.Changes.from_bytes_packed(
            raw, traversal_limit_in_words=2**26
        )
        return Changes(
            read.revision,
            read.isWhole,
            tuple(
                interface.Item(
                    item.key,
                    None if item.isDeleted else bytes(item.value),
                    item.revision,
                )
                for item in read.items
            ),
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise exceptions.PeerError(
            f"a host sent malformed changes: {error}"
        ) from error
