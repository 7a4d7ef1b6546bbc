"""Messages between hosts on a platform and their Cap'n Proto codec."""

from __future__ import annotations

import math
import pathlib
from typing import Any
import zlib

import capnp
import msgspec

from cowslipshift import packing
from cowslipshift.edge import exceptions
from cowslipshift.steering import limiters
from cowslipshift.steering import rollouts
from cowslipshift.steering import serverlimits
from cowslipshift.store import interface
from cowslipshift.workload import demand
from cowslipshift.workload import reports as load_reports

_schema: Any = capnp.load(
    str(pathlib.Path(__file__).with_name("messages.capnp"))
)


MS_PER_S = 1000
MAX_BUNDLE_BYTES = 64 * 1024
"""Largest bundle that is decompressed, several times one that is sent."""

BUNDLE_COMPRESSION_LEVEL = 1
"""Heartbeats of a bundle repeat the names of accounts, which the fastest level
finds as well."""

MAX_COUNT = 2**16 - 1
"""Larger numbers of requests at a server are sent as this."""

MAX_ELAPSED_MS = 2**32 - 1
"""A longer time since an order, 49.7 days, is sent as this."""

UNKNOWN_AGE_MS = 2**32 - 1
"""Stands for an age that is unknown or too large to be sent."""


class RolloutReport(msgspec.Struct, frozen=True):
    """What one host has counted for one roll-out.

    Attributes:
        order: Number of the order that the roll-out follows.
        rejects_new_version: Whether the host has stopped using the new
            version.
        elapsed_s: Time since the order that the host knows of.
        version: The new version; empty if the host does not tell.
    """

    service: str
    order: int
    counts: rollouts.Counts
    rejects_new_version: bool
    elapsed_s: float = 0.0
    version: str = ""


class Heartbeat(msgspec.Struct, frozen=True):
    """State that each host sends to all others at an interval.

    Attributes:
        incarnation: Which process of the host sent it.
        sequence: Its number; a later one of the same process replaces it.
        is_urgent: Whether a relay should pass it on ahead of its interval.
        revision: Store revision that the host's replica has reached.
        is_store_reachable: Whether the store answered its last call.
        current_age_s: Seconds since the replica was last proven current.
        server_limits: Limits that servers state.
        server_loads: Loads that servers state.
        demands: Rates at which the host's callers ask for services.
        usages: Admitted requests and demand by account.
        reports: Counts of each roll-out.
        era: Era of the store that the revision belongs to.
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
    current_age_s: float = math.inf
    server_limits: list[serverlimits.ServerLimitReport] = []
    server_loads: list[load_reports.ServerLoadReport] = []
    demands: list[demand.DemandReport] = []
    era: int = 0

    @property
    def position(self) -> interface.Position:
        """Position of the store that the host's replica has reached."""
        return interface.Position(self.era, self.revision)


class EncodedHeartbeat(msgspec.Struct, frozen=True):
    """A heartbeat as its host encoded it, so that relays can forward it.

    Attributes:
        raw: The heartbeat in packed form.
        age_s: Time for which relays have held it; time on the network is
            not included.
    """

    raw: bytes
    age_s: float = 0.0


class Bundle(msgspec.Struct, frozen=True):
    """One datagram: heartbeats of the sender and those that it relays.

    Attributes:
        sender: The host that sent it.
    """

    sender: str
    heartbeats: list[EncodedHeartbeat]


class Changes(msgspec.Struct, frozen=True):
    """Items of the store that one host sends to another.

    Attributes:
        revision: Store revision up to which the items are complete.
        is_snapshot: Whether these are all items, not only what changed. Items
            without a value are then known to be gone, although the store may
            have them.
        era: Era of the store that the revision belongs to.
        held: With a snapshot, known items which the host goes on with for a
            while, although the store has others.
    """

    revision: int
    is_snapshot: bool
    items: tuple[interface.Item, ...]
    era: int = 0
    held: tuple[interface.Item, ...] = ()

    @property
    def position(self) -> interface.Position:
        """Position of the store up to which the items are complete."""
        return interface.Position(self.era, self.revision)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat in packed form."""
    message = _schema.Word.new_message(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        revision=heartbeat.revision,
        era=heartbeat.era,
        isLeaving=heartbeat.is_leaving,
        isUrgent=heartbeat.is_urgent,
        hasStore=heartbeat.is_store_reachable,
        currentAgeMs=_encode_age(heartbeat.current_age_s),
        usages=[
            {
                "account": u.account,
                "admitted": u.admitted,
                "demand": u.demand,
                "total": u.total,
            }
            for u in heartbeat.usages
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
                "elapsedMs": min(
                    round(r.elapsed_s * MS_PER_S), MAX_ELAPSED_MS
                ),
                "version": r.version,
            }
            for r in heartbeat.reports
        ],
    )
    message.serverLimits = [
        {
            "server": report.server,
            "startedMs": report.started_ms,
            "rate": report.rate,
            "ageMs": _encode_age(report.age_s),
        }
        for report in heartbeat.server_limits
    ]
    message.serverLoads = [
        {
            "server": report.server,
            "running": min(report.running, MAX_COUNT),
            "waiting": min(report.waiting, MAX_COUNT),
            "ageMs": _encode_age(report.age_s),
        }
        for report in heartbeat.server_loads
    ]
    message.demands = [
        {"service": row.service, "region": row.region, "rate": row.rate}
        for row in heartbeat.demands
    ]
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_heartbeat(raw: bytes) -> Heartbeat:
    """Decode a heartbeat.

    Raises:
        PeerError: The bytes are malformed.
    """
    try:
        limit = packing.check_packed(raw)
        reader = _schema.Word.from_bytes_packed(
            raw, traversal_limit_in_words=limit
        )
        return Heartbeat(
            host=reader.host,
            incarnation=reader.incarnation,
            sequence=reader.sequence,
            revision=reader.revision,
            is_leaving=reader.isLeaving,
            is_urgent=reader.isUrgent,
            is_store_reachable=reader.hasStore,
            usages=[
                limiters.Usage(u.account, u.admitted, u.demand, u.total)
                for u in reader.usages
            ],
            reports=[
                RolloutReport(
                    r.service,
                    r.order,
                    rollouts.Counts(
                        r.newAnswers, r.newBad, r.oldAnswers, r.oldBad
                    ),
                    r.condemns,
                    r.elapsedMs / MS_PER_S,
                    r.version,
                )
                for r in reader.rollouts
            ],
            current_age_s=_decode_age(reader.currentAgeMs),
            server_limits=[
                serverlimits.ServerLimitReport(
                    r.server,
                    r.startedMs,
                    _check_rate(r.rate),
                    _decode_age(r.ageMs),
                )
                for r in reader.serverLimits
            ],
            server_loads=[
                load_reports.ServerLoadReport(
                    r.server, r.running, r.waiting, _decode_age(r.ageMs)
                )
                for r in reader.serverLoads
            ],
            demands=[
                demand.DemandReport(r.service, r.region, _check_rate(r.rate))
                for r in reader.demands
            ],
            era=reader.era,
        )
    except (capnp.KjException, packing.PackingError, ValueError) as error:
        raise exceptions.PeerError(
            f"malformed heartbeat from another host: {error}"
        ) from error


def _check_rate(rate: float) -> float:
    if not 0.0 <= rate < math.inf:
        raise ValueError(f"{rate} is no rate")
    return rate


def _encode_age(age_s: float) -> int:
    if not 0.0 <= age_s < UNKNOWN_AGE_MS / MS_PER_S:
        return UNKNOWN_AGE_MS
    return math.ceil(age_s * MS_PER_S)


def _decode_age(age_ms: int) -> float:
    return math.inf if age_ms == UNKNOWN_AGE_MS else age_ms / MS_PER_S


def encode_bundle(bundle: Bundle) -> bytes:
    """Encode and compress a bundle; its heartbeats are packed already."""
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
    return zlib.compress(message.to_bytes_packed(), BUNDLE_COMPRESSION_LEVEL)


def decode_bundle(raw: bytes) -> Bundle:
    """Decode a bundle.

    Raises:
        PeerError: The bytes are malformed.
    """
    packed = _decompress(raw)
    try:
        limit = packing.check_packed(packed)
        reader = _schema.Bundle.from_bytes_packed(
            packed, traversal_limit_in_words=limit
        )
        return Bundle(
            reader.sender,
            [
                EncodedHeartbeat(bytes(item.word), item.ageMs / MS_PER_S)
                for item in reader.passages
            ],
        )
    except (capnp.KjException, packing.PackingError, ValueError) as error:
        raise exceptions.PeerError(
            f"malformed bundle from another host: {error}"
        ) from error


def _decompress(raw: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(raw, MAX_BUNDLE_BYTES)
    except zlib.error as error:
        raise exceptions.PeerError(
            f"malformed bundle from another host: {error}"
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise exceptions.PeerError(
            "a bundle from another host is cut off or too large"
        )
    return packed


def encode_changes(changes: Changes) -> bytes:
    """Encode store changes in packed form."""
    message = _schema.Changes.new_message(
        revision=changes.revision,
        era=changes.era,
        isWhole=changes.is_snapshot,
        items=[_describe_item(item) for item in changes.items],
        held=[_describe_item(item) for item in changes.held],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def _describe_item(item: interface.Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": item.value or b"",
        "revision": item.revision,
        "created": item.created,
        "isDeleted": item.value is None,
    }


def _read_item(item: Any) -> interface.Item:
    return interface.Item(
        item.key,
        None if item.isDeleted else bytes(item.value),
        item.revision,
        item.created,
    )


def decode_changes(raw: bytes) -> Changes:
    """Decode store changes.

    Raises:
        PeerError: The bytes are malformed.
    """
    try:
        limit = packing.check_packed(raw)
        reader = _schema.Changes.from_bytes_packed(
            raw, traversal_limit_in_words=limit
        )
        return Changes(
            reader.revision,
            reader.isWhole,
            tuple(_read_item(item) for item in reader.items),
            reader.era,
            tuple(_read_item(item) for item in reader.held),
        )
    except (capnp.KjException, packing.PackingError, ValueError) as error:
        raise exceptions.PeerError(
            f"malformed store changes from another host: {error}"
        ) from error
