"""Entries and calls of the usage reports on the platform."""

from __future__ import annotations

import enum
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift.duties import actions
from cowslipshift.duties import model
from cowslipshift.platform import exceptions
from cowslipshift.platform import names

if TYPE_CHECKING:
    from cowslipshift.platform import store as stores
    from cowslipshift.store import interface


class Outcome(enum.Enum):
    """What the platform did with a report."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    DEFERRED = "deferred"
    UNANSWERED = "unanswered"


def decode_item(item: interface.Item) -> model.DutyState:
    """Decode what an item of the store tells of the duty.

    Raises:
        MalformedEntryError: The value is not what its key implies.
    """
    revision = item.revision
    if item.key == names.DUTY_HOLDER_KEY:
        if item.value is None:
            return model.DutyState(holder_seen=revision)
        holder = _decode(item.value, model.Holder)
        return model.DutyState(holder, revision, revision)
    if item.key == names.DUTY_RECORD_KEY and item.value is not None:
        record = _decode(item.value, model.Record)
        return model.DutyState(record=record, record_revision=revision)
    return model.DutyState()


def _decode(value: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(value, type=kind)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.MalformedEntryError(
            f"malformed entry of a duty: {error}"
        ) from error


class DutyStore:
    """The duty's entries in the platform's store.

    All calls raise `StoreError` if there is no usable answer.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: stores.PlatformStore) -> None:
        self._store = store

    async def read_state(self) -> model.DutyState:
        """Read both entries.

        Raises:
            MalformedEntryError: An entry is malformed.
        """
        snapshot = await self._store.read_prefix(names.DUTY_PREFIX)
        state = model.DutyState()
        for item in snapshot.items:
            state = state.merge(decode_item(item))
        return msgspec.structs.replace(state, holder_seen=snapshot.revision)

    async def write_record(self, write: actions.WriteRecord) -> int | None:
        """Write the record, and the holder's entry if it is taken.

        Returns:
            Store revision of the write; ``None`` if it was not executed.
        """
        record = write.record
        writes = {names.DUTY_RECORD_KEY: (msgspec.json.encode(record), 0)}
        if write.is_take:
            writes[names.DUTY_HOLDER_KEY] = (
                msgspec.json.encode(record.holder),
                record.holder.lease,
            )
        expected = {
            names.DUTY_HOLDER_KEY: write.expected.holder_revision,
            names.DUTY_RECORD_KEY: write.expected.record_revision,
        }
        return await self._store.write_leased_items(expected, writes)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        return await self._store.grant_lease(ttl_s)

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return whether it still exists."""
        return await self._store.renew_lease(lease)

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._store.revoke_lease(lease)


class UsageClient:
    """Sends usage reports to the platform.

    Args:
        address: Its ``ip:port``.
        session: HTTP session to use; the caller closes it.
        host: Name of this host.
    """

    def __init__(
        self, address: str, session: aiohttp.ClientSession, host: str
    ) -> None:
        self._url = f"http://{address}{names.USAGE_PATH}"
        self._session = session
        self._host = host

    async def send(
        self, report: model.UsageReport, token: int, timeout_s: float
    ) -> tuple[Outcome, int]:
        """Send a report; return its outcome and the HTTP status, if any."""
        try:
            async with self._session.post(
                self._url,
                data=msgspec.json.encode(report),
                headers={
                    names.DUTY_HOLDER_HEADER: self._host,
                    names.FENCING_TOKEN_HEADER: str(token),
                    "Content-Type": "application/json",
                },
                timeout=aiohttp.ClientTimeout(total=timeout_s),
                allow_redirects=False,
            ) as response:
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Outcome.UNANSWERED, 0
        if status == 200:
            return Outcome.ACCEPTED, status
        if status == 409:
            return Outcome.FENCED, status
        return Outcome.DEFERRED, status
