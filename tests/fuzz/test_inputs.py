"""Inputs from outside: each is decoded, or refused with the layer's error."""

from __future__ import annotations

import os

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from cowslipshift import exceptions as base_exceptions
from cowslipshift.edge import messages
from cowslipshift.platform import ingress
from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.platform import store as platform_store
from cowslipshift.platform import translation
from cowslipshift.standins import platformfleet
from cowslipshift.steering import limiters
from cowslipshift.steering import rollouts
from cowslipshift.store import client as store_client
from cowslipshift.store import interface
from tests import builders

EXAMPLES = int(os.environ.get("COWSLIPSHIFT_FUZZ_EXAMPLES", "60"))
fuzz = settings(max_examples=EXAMPLES, deadline=None, derandomize=True)

KEYS = (
    names.CONFIG_KEY,
    names.ROLLOUT_PREFIX + "s",
    names.EVACUATION_PREFIX + "z",
    names.BACKEND_PREFIX + "i-1",
    names.STATUS_PREFIX + "s",
    names.MEMBER_PREFIX + "h",
    names.STAGE_PREFIX + "s",
)

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def build_heartbeat() -> bytes:
    return messages.encode_heartbeat(
        messages.Heartbeat(
            host="h2",
            incarnation=1,
            sequence=1,
            revision=5,
            is_leaving=False,
            is_urgent=False,
            is_store_reachable=True,
            usages=[limiters.Usage("a1", 3, 1.5)],
            reports=[
                messages.RolloutReport("s", 7, rollouts.Counts(1), False)
            ],
        )
    )


VALID_ITEMS = {
    names.CONFIG_KEY: platformfleet.build_config(3),
    names.ROLLOUT_PREFIX + "s": msgspec.json.encode(
        {"service": "s", "target_version": "v2", "ramp_s": 12.0}
    ),
    names.STAGE_PREFIX + "s": rollouts.encode_stage(
        rollouts.Stage(
            order=1, version="v", step=0, state="watching", started_ms=1
        )
    ),
    names.MEMBER_PREFIX + "h": msgspec.json.encode(builders.build_member("h")),
}


def mutate(raw: bytes, edits: list[tuple[int, int]]) -> bytes:
    content = bytearray(raw)
    for position, value in edits:
        content[position % len(content)] = value
    return bytes(content)


edits = st.lists(
    st.tuples(st.integers(0, 10_000), st.integers(0, 255)),
    min_size=1,
    max_size=6,
)


@fuzz
@given(raw=st.binary(max_size=200))
@pytest.mark.parametrize(
    "decode",
    [
        messages.decode_bundle,
        messages.decode_heartbeat,
        messages.decode_changes,
        rollouts.decode_stage,
    ],
)
def test_bytes_of_other_hosts(decode, raw) -> None:
    try:
        decode(raw)
    except base_exceptions.CowslipshiftError as error:
        assert error.code


@fuzz
@given(changed=edits)
def test_damaged_heartbeat(changed) -> None:
    raw = mutate(build_heartbeat(), changed)
    bundle = messages.encode_bundle(
        messages.Bundle("h2", [messages.EncodedHeartbeat(raw)])
    )
    try:
        for encoded in messages.decode_bundle(bundle).heartbeats:
            messages.decode_heartbeat(encoded.raw)
    except base_exceptions.CowslipshiftError as error:
        assert error.code


def apply_item(item: interface.Item) -> None:
    """Apply an item as a host does."""
    balancer = builders.build_balancer("h1")
    try:
        change = translation.translate_item(item)
    except base_exceptions.CowslipshiftError as error:
        assert error.code
        return
    if change is not None:
        balancer.apply(change, 0.0)
        balancer.find_route("x", "/")
        for rollout in balancer.rollouts.values():
            rollout.choose_new_version()
            rollout.propose_stage(1.0, 1.0, "h1", ["h1"])


@fuzz
@given(key=st.sampled_from(KEYS), value=json_values)
def test_items_of_other_writers(key, value) -> None:
    raw = msgspec.json.encode(value)
    apply_item(interface.Item(key, raw, 9))


@fuzz
@given(key=st.sampled_from(sorted(VALID_ITEMS)), changed=edits)
def test_damaged_items(key, changed) -> None:
    apply_item(interface.Item(key, mutate(VALID_ITEMS[key], changed), 9))


@fuzz
@given(value=json_values)
@pytest.mark.parametrize(
    "kind",
    [platform_store._Page, platform_store._Events, platform_store._Lease],
)
def test_answers_of_the_platform_store(kind, value) -> None:
    raw = msgspec.json.encode(value)
    try:
        platform_store._decode(raw, kind)
    except base_exceptions.CowslipshiftError as error:
        assert error.code


@fuzz
@given(value=json_values, field=st.sampled_from(["kvs", "result", "ID"]))
def test_answers_of_the_own_store(value, field) -> None:
    for content in (value, {field: value}, {"result": {"events": value}}):
        raw = msgspec.json.encode(content)
        try:
            body = store_client._parse_object(raw)
            store_client._parse_int(body, "ID")
        except base_exceptions.CowslipshiftError as error:
            assert error.code
        try:
            store_client._parse_watch_line(raw)
        except base_exceptions.CowslipshiftError as error:
            assert error.code
        try:
            store_client._parse_pairs(content)
        except base_exceptions.CowslipshiftError as error:
            assert error.code


@fuzz
@given(
    deadline=st.text(max_size=12),
    cookie=st.text(max_size=30),
    load=st.text(max_size=12),
)
def test_headers(deadline, cookie, load) -> None:
    parsed = ingress.parse_request_headers(
        {names.DEADLINE_MS_HEADER: deadline, "Cookie": cookie}
    )
    if parsed.deadline_s is not None:
        assert 0.0 <= parsed.deadline_s <= ingress.MAX_DEADLINE_S
    ingress.parse_answer_headers(200, {names.LOAD_HEADER: load})


SETTINGS = """
node_name = "h1"
ip = "10.0.0.1"
zone = "north-a"
region = "north"
internal_ports = [7600, 7615]
bounds = ["grace_s=6", "quota_window_s=5"]
[zones]
north-a = "north"
[listen]
front = "10.0.0.1:1"
ready = "10.0.0.1:2"
directory = "10.0.0.1:3"
[platform]
address = "10.0.0.9:4"
"""


@fuzz
@given(changed=edits)
def test_damaged_settings(changed) -> None:
    text = mutate(SETTINGS.encode(), changed).decode("utf-8", "replace")
    try:
        platform_settings.parse_settings(text)
    except base_exceptions.CowslipshiftError as error:
        assert error.code


def test_valid_items_are_applied() -> None:
    for key, raw in VALID_ITEMS.items():
        change = translation.translate_item(interface.Item(key, raw, 9))
        assert change is not None
