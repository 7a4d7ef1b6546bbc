"""Tests of decoding the platform's entries, headers and settings."""

from __future__ import annotations

import msgspec
import pytest

from cowslipshift import exceptions as base_exceptions
from cowslipshift.platform import codec
from cowslipshift.platform import exceptions
from cowslipshift.platform import ingress
from cowslipshift.platform import names
from cowslipshift.platform import settings
from cowslipshift.platform import translation
from cowslipshift.standins import platformbackend
from cowslipshift.standins import platformfleet
from cowslipshift.steering import changes
from cowslipshift.store import interface


def test_configuration_is_decoded() -> None:
    configuration = codec.decode_configuration(platformfleet.build_config(18))
    assert configuration.version == 18
    read, write = configuration.routes
    assert (read.is_idempotent, write.is_idempotent) == (True, False)
    assert (read.timeout_s, read.target_s) == (0.8, 0.3)
    assert read.weighted_services[0].service == platformfleet.READ_SERVICE
    assert configuration.accounts_by_key == {
        platformfleet.API_KEY: platformfleet.ACCOUNT
    }
    assert configuration.services[platformfleet.READ_SERVICE].cold_rate == 4.0


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda c: c.pop("version"),
        lambda c: c.update(version="not hex"),
        lambda c: c["virtual_hosts"][0]["paths"][0].update(type="sometimes"),
        lambda c: c["virtual_hosts"][0]["paths"][0].pop("timeout_ms"),
        lambda c: c.update(services="none"),
        lambda c: c["tenants"][0].update(rate_per_s="many"),
    ],
)
def test_invalid_configuration_is_rejected(corrupt) -> None:
    config = msgspec.json.decode(platformfleet.build_config())
    corrupt(config)
    with pytest.raises(exceptions.MalformedEntryError):
        codec.decode_configuration(msgspec.json.encode(config))


@pytest.mark.parametrize(
    "change",
    [
        {"address": "nowhere"},
        {"address": 7},
        {"status": {"state": "resting", "seq": 1}},
        {"info": {"service": "sheets"}},
        {
            "info": {
                "service": "sheets",
                "zone": "north-a",
                "version": "v1",
                "concurrency": 0,
            }
        },
    ],
)
def test_malformed_server_entry_is_rejected(change) -> None:
    stand_in = platformbackend.PlatformBackendStandIn("s", 3)
    raw = stand_in.build_entry("10.0.0.1:80", "sheets", "north-a")
    entry = msgspec.json.decode(raw)
    assert codec.decode_backend("s", raw).slots == 3
    with pytest.raises(exceptions.MalformedEntryError):
        codec.decode_backend("s", msgspec.json.encode({**entry, **change}))


def test_items_become_changes_and_unknown_keys_none() -> None:
    gone = interface.Item(names.BACKEND_PREFIX + "s", None, 4)
    assert translation.translate_item(gone) == changes.BackendChange("s", None)
    order = b'{"service":"a","target_version":"v2","ramp_s":12}'
    found = translation.translate_item(
        interface.Item(names.ROLLOUT_PREFIX + "a", order, 9)
    )
    assert isinstance(found, changes.OrderChange)
    assert found.order is not None
    assert (found.order.version, found.order.order) == ("v2", 9)
    other = interface.Item("status/rollout/a", b"{}", 9)
    assert translation.translate_item(other) is None


def test_status_must_be_one_of_the_three_states() -> None:
    raw = codec.encode_status("v2", "completed")
    assert msgspec.json.decode(raw) == {
        "state": "completed",
        "target_version": "v2",
    }
    with pytest.raises(ValueError, match="no state"):
        codec.encode_status("v2", "perhaps")


def test_hop_by_hop_headers_and_the_key_are_not_forwarded() -> None:
    headers = dict(
        ingress.build_backend_headers(
            [
                ("Connection", "close, X-Hop"),
                ("X-Hop", "1"),
                ("Transfer-Encoding", "chunked"),
                (names.API_KEY_HEADER, "secret"),
                (names.ACCOUNT_HEADER, "forged"),
                (names.REQUEST_ID_HEADER, "r1"),
                ("X-Kept", "2"),
            ],
            0.5,
            "i-1",
            "workshop",
        )
    )
    assert headers == {
        names.REQUEST_ID_HEADER: "r1",
        "X-Kept": "2",
        names.DEADLINE_MS_HEADER: "500",
        names.INSTANCE_HEADER: "i-1",
        names.ACCOUNT_HEADER: "workshop",
    }


@pytest.mark.parametrize(
    "text", ["", "-5", "soon", "9" * 400, "nan", "inf", "-inf", "-0.001"]
)
def test_malformed_deadlines_are_told_apart(text) -> None:
    parsed = ingress.parse_request_headers({names.DEADLINE_MS_HEADER: text})
    assert parsed.deadline_s is None


@pytest.mark.parametrize(
    ("text", "deadline_s"),
    [("0", 0.0), ("250", 0.25), ("3.6e6", 3600.0), ("9" * 30, 3600.0)],
)
def test_deadlines_are_clamped(text, deadline_s) -> None:
    parsed = ingress.parse_request_headers({names.DEADLINE_MS_HEADER: text})
    assert parsed.deadline_s == deadline_s


def test_headers_that_the_platform_defines_concern_no_connection() -> None:
    named = (
        f"{names.REQUEST_ID_HEADER}, X-Hop, {names.SIGNATURE_HEADER}, Cookie"
    )
    received = [
        ("Connection", named),
        ("X-Hop", "1"),
        ("Cookie", "a=b"),
        (names.REQUEST_ID_HEADER, "r1"),
        (names.SIGNATURE_HEADER, "s"),
    ]
    kept = received[2:]
    assert ingress.filter_answer_headers(received) == kept
    sent = ingress.build_backend_headers(received, 1.0, "i-1", None)
    assert sent[: len(kept)] == kept


@pytest.mark.parametrize("text", ["-1,0,3", "0,-7,3", "9999999999,0,3", "x"])
def test_impossible_load_reports_are_ignored(text) -> None:
    headers = {names.LOAD_HEADER: text}
    assert ingress.parse_answer_headers(200, headers).load is None


@pytest.mark.parametrize(
    "text",
    ["", "node_name = ", 'node_name = "x"', 'bounds = ["grace_s=soon"]'],
)
def test_truncated_settings_file_is_an_error(text) -> None:
    with pytest.raises(exceptions.PlatformSettingsError):
        settings.parse_settings(text)


def test_link_is_read_from_the_limits_of_the_machine() -> None:
    text = """
node_name = "h1"
ip = "10.0.0.1"
zone = "north-a"
region = "north"
internal_ports = [7600, 7615]
[zones]
north-a = "north"
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
directory = "10.0.0.1:3"
[platform]
address = "10.0.0.9:4"
"""
    limits = "[limits]\ncpu_share = 0.86\nlink_mbps = 12.5\n"
    assert settings.parse_settings(text)[0].limits.link_mbps == 0.0
    assert settings.parse_settings(text + limits)[0].limits.link_mbps == 12.5


DEEP = b"[" * 100_000 + b"]" * 100_000
HUGE = b"9" * 400


def build_odd_entry(old: bytes, new: bytes) -> bytes:
    """Return the entry of a server with some bytes replaced."""
    backend = platformbackend.PlatformBackendStandIn("s1", 3)
    entry = backend.build_entry("10.0.0.1:80", "sheets", "north-a")
    assert old in entry
    return entry.replace(old, new)


# Guards against an entry of another writer that ends the reading of all.
@pytest.mark.parametrize(
    ("old", "new"),
    [
        (b'"born":1', b'"born":1,"later":' + DEEP),
        (b'"born":1', b'"born":' + HUGE),
        (b'"born":1', b'"born":-1'),
        (b'"concurrency":3', b'"concurrency":' + HUGE),
        (b'"concurrency":3', b'"concurrency":1000000000000000000'),
        (b'"concurrency":3', b'"concurrency":0'),
        (b'"seq":1', b'"seq":' + HUGE),
        (b'"cold_remaining_ms":0', b'"cold_remaining_ms":1e308'),
        (b'"cold_remaining_ms":0', b'"cold_remaining_ms":-1e308'),
        (b":80", b":0"),
        (b":80", b":99999"),
        (b":80", b":" + HUGE * 13),
        (b":80", ":\u0664\u0660".encode()),
        (b"10.0.0.1:80", b"10.0.0.1\\r\\nHost: x:80"),
        (b"10.0.0.1:80", b"name.example:80"),
    ],
    ids=range(15),
)
def test_odd_entry_of_a_server_is_rejected(old, new) -> None:
    with pytest.raises(exceptions.MalformedEntryError):
        codec.decode_backend("s1", build_odd_entry(old, new))


@pytest.mark.parametrize(
    "key",
    [
        names.CONFIG_KEY,
        names.BACKEND_PREFIX + "s1",
        names.ROLLOUT_PREFIX + "sheets",
        names.STAGE_PREFIX + "sheets",
        names.MEMBER_PREFIX + "h1",
    ],
)
def test_deeply_nested_entry_is_rejected(key) -> None:
    with pytest.raises(base_exceptions.CowslipshiftError):
        translation.translate_item(
            interface.Item(key, b'{"later":' + DEEP + b"}", 1)
        )


@pytest.mark.parametrize(
    ("status", "text", "wait_s"),
    [
        (503, "2.5", 2.5),
        (503, "1e300", ingress.MAX_SERVER_WAIT_S),
        (503, "nan", 0.0),
        (503, "-1", 0.0),
        (503, "soon", 0.0),
        (200, "2.5", 0.0),
    ],
)
def test_wait_that_a_server_asks_for_is_bounded(status, text, wait_s) -> None:
    headers = {names.RETRY_AFTER_HEADER: text}
    found = ingress.parse_answer_headers(status, headers)
    assert found.wait_s == wait_s


@pytest.mark.parametrize(
    ("text", "limit"),
    [("1.6", 1.6), ("0", 0.0), ("nan", None), ("-1", None), ("inf", None)],
)
def test_limit_that_a_server_states_is_bounded(text, limit) -> None:
    headers = {names.SERVER_LIMIT_HEADER: text}
    assert ingress.parse_answer_headers(200, headers).server_limit == limit
