"""Codec of the counts that hosts tell the holder of the usage reports."""

from __future__ import annotations

import pathlib
from typing import Any

import capnp

from cowslipshift import packing
from cowslipshift.duties import collection
from cowslipshift.edge import exceptions

_schema: Any = capnp.load(str(pathlib.Path(__file__).with_name("usage.capnp")))


def encode_counts(counts: collection.HostCounts) -> bytes:
    """Encode the counts of a host in packed form."""
    message = _schema.HostCounts.new_message(
        incarnation=counts.incarnation,
        windows=[
            {
                "window": window,
                "counts": [
                    {"account": account, "count": count}
                    for account, count in by_account.items()
                ],
            }
            for window, by_account in counts.windows.items()
        ],
    )
    packed: bytes = message.to_bytes_packed()
    return packed


def decode_counts(raw: bytes) -> collection.HostCounts:
    """Decode the counts of a host.

    Raises:
        PeerError: The bytes are malformed.
    """
    try:
        limit = packing.check_packed(raw)
        reader = _schema.HostCounts.from_bytes_packed(
            raw, traversal_limit_in_words=limit
        )
        return collection.HostCounts(
            reader.incarnation,
            {
                item.window: {c.account: c.count for c in item.counts}
                for item in reader.windows
            },
        )
    except (capnp.KjException, packing.PackingError, ValueError) as error:
        raise exceptions.PeerError(
            f"malformed counts from another host: {error}"
        ) from error
