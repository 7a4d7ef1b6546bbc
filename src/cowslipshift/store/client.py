"""Client of etcd's published v3 JSON interface over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from cowslipshift.store import exceptions

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from collections.abc import Sequence

CALL_TIMEOUT_S = 2.0
WATCH_IDLE_TIMEOUT_S = 15.0
"""A watch that shows no progress for this long is opened anew."""

MAX_WATCH_LINE_BYTES = 4 * 1024 * 1024


class KeyValue(msgspec.Struct, frozen=True):
    """One key of the store.

    Attributes:
        mod_revision: Store revision of the last write; 0 if absent.
    """

    key: str
    value: bytes
    mod_revision: int


class WatchEvent(msgspec.Struct, frozen=True):
    """A change of a watched key, or progress when ``kv`` is ``None``."""

    kv: KeyValue | None
    deleted: bool = False


class StoreClient:
    """Calls the store, trying its endpoints in turn.

    Args:
        endpoints: Base URLs of the store.
        session: HTTP session to use; the caller closes it.
        on_call: Told the kind of each call, for metrics.
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
        self._on_call = on_call or (lambda kind: None)

    async def get_key(self, key: str) -> KeyValue | None:
        """Read a key.

        Raises:
            StoreError: The store is away or answers rubbish.
        """
        body = await self._call("kv/range", {"key": _encode(key)})
        pairs = _parse_pairs(body.get("kvs", []))
        return pairs[0] if pairs else None

    async def list_keys(self, prefix: str) -> list[KeyValue]:
        """Read all keys with a prefix.

        Raises:
            StoreError: The store is away or answers rubbish.
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
        """Write a key if nobody wrote it since it was read.

        Args:
            key: The key to compare and write.
            value: Its new value.
            expected_mod_revision: What `KeyValue.mod_revision` must be;
                0 when the key must not exist.
            further_writes: Further keys written in the same transaction.
            lease: Lease of the further keys.

        Returns:
            Whether the write took place.

        Raises:
            StoreUnavailableError: The answer is lost; read it back.
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
        """Delete a key if nobody wrote it since it was read.

        Raises:
            StoreUnavailableError: The answer is lost; read it back.
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
            StoreError: The store is away or answers rubbish.
        """
        body = await self._call("lease/grant", {"TTL": str(ttl_s)})
        return _parse_int(body, "ID")

    async def renew_lease(self, lease: int) -> int:
        """Renew a lease and return its remaining seconds, 0 if lapsed.

        Raises:
            StoreError: The store is away or answers rubbish.
        """
        body = await self._call("lease/keepalive", {"ID": str(lease)})
        result = body.get("result", body)
        return int(result.get("TTL", 0))

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys.

        Raises:
            StoreError: The store is away or answers rubbish.
        """
        await self._call("lease/revoke", {"ID": str(lease)})

    async def watch_prefix(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield changes of keys with a prefix until the stream ends.

        A stream that shows neither changes nor progress is given up, since
        it may have gone silent for good.

        Raises:
            StoreError: The store is away, silent or answers rubbish.
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
                url,
                json=request,
                timeout=timeout,
                read_bufsize=MAX_WATCH_LINE_BYTES,
            ) as response:
                if response.status != 200:
                    raise exceptions.StoreUnavailableError(
                        f"the store refused a watch with {response.status}"
                    )
                async for line in response.content:
                    for event in _parse_watch_line(line):
                        yield event
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._try_next_endpoint()
            raise exceptions.StoreUnavailableError(
                f"the watch ended: {error!r}"
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
        raise AssertionError("there is at least one endpoint")

    async def _call_once(self, path: str, request: Any) -> dict[str, Any]:
        self._on_call(path)
        url = f"{self._endpoints[self._preferred]}/v3/{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._session.post(
                url, json=request, timeout=timeout
            ) as response:
                raw = await response.read()
                status = response.status
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise exceptions.StoreUnavailableError(
                f"the store did not answer {path}: {error!r}"
            ) from error
        if status != 200:
            raise exceptions.StoreUnavailableError(
                f"the store answered {path} with status {status}"
            )
        return _parse_object(raw)


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
            f"the store's answer is not JSON: {error}"
        ) from error
    if not isinstance(body, dict):
        raise exceptions.StoreAnswerError("the store's answer is no object")
    return body


def _parse_int(body: dict[str, Any], field: str) -> int:
    try:
        return int(body[field])
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.StoreAnswerError(
            f"the store's answer lacks a number in '{field}'"
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
            f"the store's answer has a malformed key: {error!r}"
        ) from error


def _parse_watch_line(line: bytes) -> list[WatchEvent]:
    if not line.strip():
        return []
    result = _parse_object(line).get("result")
    if not isinstance(result, dict):
        raise exceptions.StoreAnswerError("a watch answer has no result")
    if result.get("canceled"):
        raise exceptions.StoreUnavailableError("the store ended the watch")
    events = []
    for event in result.get("events", []):
        pair = _parse_pairs([event.get("kv", {})])[0]
        events.append(WatchEvent(pair, event.get("type") == "DELETE"))
    return events or [WatchEvent(None)]
