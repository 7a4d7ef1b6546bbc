"""Client of the platform's store."""

from __future__ import annotations

import base64
import binascii
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift import transfers
from cowslipshift.platform import eras
from cowslipshift.platform import names
from cowslipshift.store import exceptions
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from cowslipshift import bodies

CALL_TIMEOUT_S = 1.0
"""Time limit for the first byte of an answer, and for pauses in it: 200 times
the answer time that the platform states."""

WATCH_MARGIN_S = 1.0

HISTORY_GONE = 410

MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
"""All pages of a store with several times 10,000 entries."""


class _WireItem(msgspec.Struct):
    key: str
    rev: int
    value: str | None = None
    created: int = 0
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[_WireItem]
    store_revision: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_WireItem]
    store_revision: int


class _Lease(msgspec.Struct):
    lease: int


class _Written(msgspec.Struct):
    rev: int


class PlatformStore:
    """Client of the platform's store; implements `RevisionedStore`.

    Args:
        address: ``ip:port`` of the store.
        session: HTTP session to use; the caller closes it.
        on_call: Called with the kind and outcome of each call, for metrics.
        budget: Counts answers while they are read.
        on_era: Called with each later era that the store states.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        on_call: Callable[[str, str], None],
        budget: bodies.ByteBudget,
        on_era: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._url = f"http://{address}"
        self._session = session
        self._on_call = on_call
        self._budget = budget
        self._eras = eras.EraReader(on_era)

    async def read_prefix(self, prefix: str) -> interface.Snapshot:
        """Read all items whose keys begin with a prefix, page by page.

        Raises:
            StoreAnswerError: The pages do not go on, or do not end.
            StoreUnavailableError: A later page is from another era.
        """
        items: list[interface.Item] = []
        read_bytes = 0
        revision = 0
        first_era: int | None = None
        params = {"prefix": prefix}
        while True:
            answer, era = await self._call("GET", names.RANGE_PATH, params)
            if first_era is None:
                first_era = era
            if era != first_era:
                raise exceptions.StoreUnavailableError(
                    "the store came back from a copy between two pages"
                )
            page = _decode(answer.body, _Page)
            read_bytes += len(answer.body)
            if read_bytes > MAX_SNAPSHOT_BYTES:
                raise exceptions.StoreAnswerError(
                    f"pages of the store exceed {MAX_SNAPSHOT_BYTES} bytes"
                )
            items += [_convert(item) for item in page.items]
            # Pages are read at different revisions, so the items are complete
            # only up to the revision of the first page.
            revision = revision or page.store_revision
            if not page.has_more or not page.items:
                return interface.Snapshot(tuple(items), revision, era)
            last_key = page.items[-1].key
            if last_key <= params.get("after", ""):
                raise exceptions.StoreAnswerError(
                    "a page of the store repeats an earlier one"
                )
            params["after"] = last_key

    async def watch_prefix(
        self, prefix: str, after: int, wait_s: float
    ) -> interface.Snapshot:
        """Wait for changes after a revision."""
        params = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer, era = await self._call(
            "GET",
            names.WATCH_PATH,
            params,
            first_byte_s=wait_s + WATCH_MARGIN_S,
        )
        found = _decode(answer.body, _Events)
        events = tuple(_convert(event) for event in found.events)
        return interface.Snapshot(events, found.store_revision, era)

    async def swap_items(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, bytes],
        lease: int = 0,
    ) -> bool:
        """Write keys by compare-and-swap, all or none."""
        answer = await self._transact(
            expected, {key: (value, lease) for key, value in writes.items()}
        )
        return answer.status == 200

    async def write_leased_items(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, tuple[bytes, int]],
    ) -> int | None:
        """Write keys by compare-and-swap, each under a lease of its own.

        Args:
            expected: Expected revision by key; 0 for a key that must not
                exist.
            writes: New value and lease by key; 0 for no lease.

        Returns:
            Store revision of the writes; ``None`` if they were not executed.
        """
        answer = await self._transact(expected, writes)
        if answer.status != 200:
            return None
        revision: int = _decode(answer.body, _Written).rev
        return revision

    async def _transact(
        self,
        expected: Mapping[str, int],
        writes: Mapping[str, tuple[bytes, int]],
    ) -> transfers.Answer:
        body = {
            "expected": [{"key": k, "rev": r} for k, r in expected.items()],
            "writes": [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "lease": lease,
                }
                for key, (value, lease) in writes.items()
            ],
            "deletes": [],
        }
        known_era = self._eras.era
        answer, era = await self._call(
            "POST", names.TXN_PATH, body=body, allowed=(200, 404, 412)
        )
        if expected and known_era not in (0, era):
            # The revisions that it expects are those of another era.
            raise exceptions.StoreUnavailableError(
                "the store came back from a copy during a transaction"
            )
        return answer

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        answer, _ = await self._call(
            "POST", names.LEASE_GRANT_PATH, body={"ttl_ms": int(ttl_s * 1000)}
        )
        lease: int = _decode(answer.body, _Lease).lease
        return lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        answer, _ = await self._call(
            "POST", f"{names.LEASE_RENEW_PATH}/{lease}", allowed=(200, 404)
        )
        return answer.status == 200

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._call(
            "DELETE",
            f"{names.LEASE_REVOKE_PATH}/{lease}",
            allowed=(200, 204, 404),
        )

    async def _call(
        self,
        method: str,
        path: str,
        params: Mapping[str, str] | None = None,
        body: object = None,
        first_byte_s: float = CALL_TIMEOUT_S,
        allowed: tuple[int, ...] = (200,),
    ) -> tuple[transfers.Answer, int]:
        """Make a call; return the answer and the era of the store."""
        kind = path.split("/")[2]
        try:
            answer = await transfers.fetch_body(
                self._session,
                method,
                self._url + path,
                first_byte_s,
                CALL_TIMEOUT_S,
                self._budget,
                params=params,
                json=body,
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            self._on_call(kind, "none")
            raise exceptions.StoreUnavailableError(
                f"store did not answer {kind}: {error!r}"
            ) from error
        status = answer.status
        self._on_call(kind, str(status))
        if status not in (*allowed, HISTORY_GONE):
            raise exceptions.StoreUnavailableError(
                f"store answered {kind} with status {status}"
            )
        era = self._eras.read(answer.headers)
        if status == HISTORY_GONE:
            raise exceptions.HistoryGoneError(
                "store no longer has the history that a watch requested"
            )
        return answer, era


def _decode(raw: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(raw, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.StoreAnswerError(
            f"malformed answer of the store: {error}"
        ) from error


def _convert(item: _WireItem) -> interface.Item:
    if item.deleted or item.value is None:
        return interface.Item(item.key, None, item.rev, item.created)
    try:
        value = base64.b64decode(item.value, validate=True)
    except (binascii.Error, ValueError):
        # Not base64, so written by another writer: the text is passed on
        # as it is, so that the codec rejects it and names the key.
        value = item.value.encode()
    return interface.Item(item.key, value, item.rev, item.created)
