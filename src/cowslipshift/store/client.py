"""Client of etcd's v3 JSON gateway over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift import bodies
from cowslipshift import transfers
from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Sequence

CALL_TIMEOUT_S = 2.0
"""Time limit for the first byte of an answer, and for pauses in it."""

WATCH_IDLE_TIMEOUT_S = 15.0
"""A watch without changes or progress for this long counts as lost."""

MAX_WATCH_LINE_BYTES = 4 * 1024 * 1024


class KeyValue(msgspec.Struct, frozen=True):
    """A key with its value.

    Attributes:
        mod_revision: Store revision of the last write; 0 if the store gave
            none.
    """

    key: str
    value: bytes
    mod_revision: int


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of a watched key; a progress notice if ``kv`` is ``None``."""

    kv: KeyValue | None
    deleted: bool = False


class StoreClient:
    """Calls the store; moves to the next endpoint when one fails.

    Only reads are retried on other endpoints, since a write whose answer is
    lost may have taken effect.

    Args:
        endpoints: Base URLs of the store.
        session: HTTP session to use; the caller closes it.
        on_call: Called with the kind of each call, for metrics.
    """

    def __init__(
        self,
        endpoints: Sequence[str],
        session: aiohttp.ClientSession,
        on_call: Callable[[str], None] | None = None,
    ) -> None:
        self._endpoints = [endpoint.rstrip("/") for endpoint in endpoints]
        self._session = session
        self._preferred = 0
        self._budget = bodies.ByteBudget(bodies.MAX_CONTROL_BYTES)
        self._on_call = on_call or (lambda kind: None)

    async def get_key(self, key: str) -> KeyValue | None:
        """Read a key; ``None`` if it does not exist.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
        """
        body = await self._call("kv/range", {"key": _encode(key)})
        pairs = _parse_pairs(body.get("kvs", []))
        return pairs[0] if pairs else None

    async def list_keys(self, prefix: str) -> list[KeyValue]:
        """Read all keys with a prefix.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
        """
        body = await self._call(
            "kv/range",
            {"key": _encode(prefix), "range_end": _encode_end(prefix)},
        )
        return _parse_pairs(body.get("kvs", []))

    async def swap_key(
        self,
        key: str,
        value: bytes,
        expected_mod_revision: int,
        further_writes: dict[str, bytes] | None = None,
        lease: int | None = None,
    ) -> bool:
        """Write a key by compare-and-swap.

        Args:
            key: The key to compare and write.
            value: Its new value.
            expected_mod_revision: Expected `KeyValue.mod_revision`; 0 if the
                key must not exist.
            further_writes: Further keys to write in the same transaction.
            lease: Lease of the further keys.

        Returns:
            Whether the key was written.

        Raises:
            StoreUnavailableError: No answer arrived; the write may have taken
                effect, so read the key to find out.
            StoreAnswerError: The answer is malformed; likewise.
        """
        puts = [_build_put(key, value, None)]
        for name, content in (further_writes or {}).items():
            puts.append(_build_put(name, content, lease))
        body = await self._call(
            "kv/txn",
            {
                "compare": [_build_compare(key, expected_mod_revision)],
                "success": puts,
                "failure": [],
            },
        )
        return bool(body.get("succeeded", False))

    async def delete_key(self, key: str, expected_mod_revision: int) -> bool:
        """Delete a key by compare-and-swap.

        Returns:
            Whether the key had the expected revision and was deleted.

        Raises:
            StoreUnavailableError: No answer arrived; the key may have been
                deleted, so read it to find out.
            StoreAnswerError: The answer is malformed; likewise.
        """
        body = await self._call(
            "kv/txn",
            {
                "compare": [_build_compare(key, expected_mod_revision)],
                "success": [{"request_delete_range": {"key": _encode(key)}}],
                "failure": [],
            },
        )
        return bool(body.get("succeeded", False))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its id.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
        """
        body = await self._call("lease/grant", {"TTL": str(ttl_s)})
        return _parse_int(body, "ID")

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease and return its time to live in s, 0 if it expired.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
        """
        body = await self._call("lease/keepalive", {"ID": str(lease)})
        result = body.get("result", body)
        if not isinstance(result, dict):
            raise exceptions.StoreAnswerError(
                "answer to the renewal of a lease has no result"
            )
        return _parse_int(result, "TTL") if "TTL" in result else 0

    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys.

        Raises:
            StoreError: The store is unavailable or its answer is malformed.
        """
        await self._call("lease/revoke", {"ID": str(lease)})

    async def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield changes of keys with a prefix until the stream ends.

        A stream without changes or progress notices for
        `WATCH_IDLE_TIMEOUT_S` is closed, since its connection may be dead.

        Raises:
            StoreError: The store is unavailable, idle for too long or its
                answer is malformed.
        """
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode_end(prefix),
                "progress_notify": True,
            }
        }
        self._on_call("watch")
        timeout = aiohttp.ClientTimeout(
            total=None, sock_read=WATCH_IDLE_TIMEOUT_S
        )
        url = f"{self._endpoints[self._preferred]}/v3/watch"
        try:
            async with self._session.post(
                url, json=request, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise exceptions.StoreUnavailableError(
                        f"store rejected a watch with status {response.status}"
                    )
                async for line in bodies.iterate_lines(
                    response, MAX_WATCH_LINE_BYTES, self._budget
                ):
                    for event in _parse_watch_line(line):
                        yield event
        except exceptions.StoreError:
            self._try_next_endpoint()
            raise
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._try_next_endpoint()
            raise exceptions.StoreUnavailableError(
                f"watch of the store failed: {error!r}"
            ) from error

    def _try_next_endpoint(self) -> None:
        self._preferred = (self._preferred + 1) % len(self._endpoints)

    async def _call(self, path: str, request: Any) -> dict[str, Any]:
        is_read = path == "kv/range"
        attempts = len(self._endpoints) if is_read else 1
        for attempt in range(attempts):
            try:
                return await self._call_once(path, request)
            except exceptions.StoreError:
                self._try_next_endpoint()
                if attempt + 1 == attempts:
                    raise
        raise AssertionError("no endpoint is configured")

    async def _call_once(self, path: str, request: Any) -> dict[str, Any]:
        self._on_call(path)
        url = f"{self._endpoints[self._preferred]}/v3/{path}"
        try:
            answer = await transfers.fetch_body(
                self._session,
                "POST",
                url,
                CALL_TIMEOUT_S,
                CALL_TIMEOUT_S,
                self._budget,
                json=request,
            )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.StoreUnavailableError(
                f"store did not answer {path}: {error!r}"
            ) from error
        if answer.status != 200:
            raise exceptions.StoreUnavailableError(
                f"store answered {path} with status {answer.status}"
            )
        return _parse_object(answer.body)


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _encode_end(prefix: str) -> str:
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return base64.b64encode(bytes(raw)).decode()


def _build_put(key: str, value: bytes, lease: int | None) -> dict[str, Any]:
    put: dict[str, Any] = {
        "key": _encode(key),
        "value": base64.b64encode(value).decode(),
    }
    if lease is not None:
        put["lease"] = str(lease)
    return {"request_put": put}


def _build_compare(key: str, mod_revision: int) -> dict[str, Any]:
    return {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(mod_revision),
    }


def _parse_object(raw: bytes) -> dict[str, Any]:
    try:
        body = msgspec.json.decode(raw)
    except msgspec.DecodeError as error:
        raise exceptions.StoreAnswerError(
            f"answer of the store is not JSON: {error}"
        ) from error
    if not isinstance(body, dict):
        raise exceptions.StoreAnswerError(
            "answer of the store is not a JSON object"
        )
    return body


def _parse_int(body: dict[str, Any], field: str) -> int:
    try:
        return int(body[field])
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreAnswerError(
            f"answer of the store has no number in field '{field}'"
        ) from error


def _parse_pairs(kvs: Any) -> list[KeyValue]:
    try:
        return [
            KeyValue(
                key=base64.b64decode(kv["key"]).decode(),
                value=base64.b64decode(kv.get("value", "")),
                mod_revision=int(kv.get("mod_revision", 0)),
            )
            for kv in kvs
        ]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise exceptions.StoreAnswerError(
            f"answer of the store has a malformed key: {error!r}"
        ) from error


def _parse_watch_line(line: bytes) -> list[WatchEvent]:
    result = _parse_object(line).get("result")
    if not isinstance(result, dict):
        raise exceptions.StoreAnswerError("answer to a watch has no result")
    if result.get("canceled"):
        raise exceptions.StoreUnavailableError("store cancelled the watch")
    listed = result.get("events", [])
    if not isinstance(listed, list):
        raise exceptions.StoreAnswerError("answer to a watch has no events")
    events = []
    for event in listed:
        if not isinstance(event, dict):
            raise exceptions.StoreAnswerError(
                "answer to a watch has a malformed event"
            )
        pair = _parse_pairs([event.get("kv", {})])[0]
        events.append(WatchEvent(pair, event.get("type") == "DELETE"))
    return events or [WatchEvent(None)]
