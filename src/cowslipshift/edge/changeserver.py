"""Sends changes in the store to other hosts."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING
import zlib

from aiohttp import hdrs
from aiohttp import web

from cowslipshift.edge import messages
from cowslipshift.store import interface

if TYPE_CHECKING:
    from cowslipshift.edge import replica as replicas

INFORMED_PARAM = "informed"
"""Asks only a host that knows what was known before the store's era."""

ENCODING = "deflate"
COMPRESSION_LEVEL = 1
"""Configurations repeat the same fields, which the fastest level finds."""

MIN_COMPRESSED_BYTES = 1024
"""A smaller answer fits into one packet as it is."""

MAX_KEPT_ANSWERS = 8


class ChangeServer:
    """Answers the hosts that ask for changes in the store.

    Hosts that are equally far behind get the same answer, which is kept.

    Args:
        replica: This host's replica of the store.
    """

    def __init__(self, replica: replicas.StoreReplica) -> None:
        self._replica = replica
        self._kept: collections.OrderedDict[
            interface.Position, tuple[messages.Changes, bytes, bytes]
        ] = collections.OrderedDict()

    async def serve(self, request: web.Request) -> web.Response:
        """Answer with what changed after the position that is asked for."""
        try:
            after = int(request.query.get("after", "0"))
            era = int(request.query.get("era", self._replica.era))
        except ValueError:
            return web.Response(status=400)
        if request.query.get(INFORMED_PARAM) and not self._replica.is_informed:
            return web.Response(status=503)
        raw, compressed = self._encode(interface.Position(era, after))
        accepted = request.headers.get(hdrs.ACCEPT_ENCODING, "")
        if len(raw) < MIN_COMPRESSED_BYTES or ENCODING not in accepted:
            return web.Response(body=raw)
        return web.Response(
            body=compressed, headers={hdrs.CONTENT_ENCODING: ENCODING}
        )

    def _encode(self, after: interface.Position) -> tuple[bytes, bytes]:
        found = self._replica.list_changes(after.revision, after.era)
        kept = self._kept.pop(after, None)
        if kept is None or kept[0] != found:
            raw = messages.encode_changes(found)
            kept = found, raw, zlib.compress(raw, COMPRESSION_LEVEL)
        self._kept[after] = kept
        if len(self._kept) > MAX_KEPT_ANSWERS:
            self._kept.popitem(last=False)
        return kept[1], kept[2]
