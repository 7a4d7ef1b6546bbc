"""Tests of the configuration's format, validation, changes and overrides."""

from __future__ import annotations

import time
from typing import Any
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest
from tests import builders

from cowslipshift.config import difference
from cowslipshift.config import document
from cowslipshift.config import edits
from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import replica as replicas
from cowslipshift.config import resolution
from cowslipshift.config import validation
from cowslipshift.config import weights
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion


def replace_first(section: str, **fields: Any) -> model.Configuration:
    base = builders.build_configuration()
    first, *rest = getattr(base, section)
    changed = msgspec.structs.replace(first, **fields)
    return msgspec.structs.replace(base, **{section: (changed, *rest)})


def build_override(**fields: Any) -> model.Override:
    values: dict[str, Any] = {
        "id": "x1",
        "setting": "cold_ramp_s",
        "value": 5.0,
        "scope": model.Scope(),
        "reason": "test",
        "author": "test",
        "since_ms": 1_000,
        **fields,
    }
    return model.Override(**values)


def test_document_survives_a_round_trip() -> None:
    base = builders.build_configuration()
    assert document.decode_document(document.encode_document(base)) == base


def test_every_fault_is_named_with_its_path(
    snapshot: SnapshotAssertion,
) -> None:
    broken = [
        replace_first("servers", slots=-1),
        replace_first("servers", slots=10**9),
        replace_first("servers", service="nope"),
        replace_first("servers", data_centre="nope"),
        replace_first("servers", url="ftp://x"),
        replace_first("servers", connection_limit=1),
        replace_first("hosts", peer="localhost:1"),
        replace_first("hosts", url="http://127.0.0.1"),
        replace_first("data_centres", region="nope"),
        replace_first("accounts", rate=float("nan")),
        replace_first("accounts", burst=-1.0),
        replace_first("accounts", services=("nope",)),
        replace_first("keys", account="nope"),
        replace_first("keys", digest="secret"),
        replace_first("services", routes=()),
        replace_first("services", max_deadline_ms=0),
        replace_first("services", forward_headers=("Authorization",)),
        replace_first("regions", name="no spaces"),
        replace_first("regions", capacity=-5),
        builders.build_configuration(exceptions=(build_override(reason=" "),)),
        builders.build_configuration(
            exceptions=(build_override(setting="nope"),)
        ),
        builders.build_configuration(
            blocks=(model.Block(name="10.0.0.1/8", region="north"),)
        ),
    ]
    found = [
        [str(fault) for fault in validation.find_faults(configuration)]
        for configuration in broken
    ]
    assert found == snapshot


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"rubbish",
        b"[]",
        b'{"revision": "x"}',
        b'{"unknown": 1}',
        b'{"regions": [{"name": 1}]}',
        b'{"format": 99}',
        b"\xff\xfe",
        b'{"accounts": [{"name": "a", "rate": 1e999, "burst": 1}]}',
    ],
)
def test_malformed_documents_are_rejected(raw: bytes) -> None:
    with pytest.raises(exceptions.InvalidConfigurationError):
        document.decode_document(raw)


def test_duplicate_names_are_rejected() -> None:
    base = builders.build_configuration()
    twice = msgspec.structs.replace(base, hosts=base.hosts + base.hosts[:1])
    faults = list(validation.find_faults(twice))
    assert [fault.path for fault in faults] == ["hosts[north-a-1]"]


def test_document_over_the_stores_limit_is_rejected() -> None:
    blocks = tuple(
        model.Block(name=f"10.{n // 250}.{n % 250}.0/24", region="north")
        for n in range(30_000)
    )
    with pytest.raises(exceptions.OversizedConfigurationError):
        document.encode_document(builders.build_configuration(blocks=blocks))


@given(st.data())
def test_difference_leads_from_one_document_to_the_other(
    data: st.DataObject,
) -> None:
    base = builders.build_configuration()
    new = base
    for _ in range(data.draw(st.integers(1, 4))):
        section = data.draw(st.sampled_from(["accounts", "keys", "servers"]))
        entries = list(getattr(new, section))
        entries = data.draw(st.permutations(entries))[1:]
        new = msgspec.structs.replace(new, **{section: tuple(entries)})
    new = msgspec.structs.replace(new, revision=base.revision + 1)
    change = difference.compute_difference(base, new)
    raw = msgspec.json.encode(change)
    decoded = msgspec.json.decode(raw, type=difference.Difference)
    if not list(validation.find_faults(new)):
        assert difference.apply_difference(base, decoded) == new
    with pytest.raises(exceptions.DifferenceError):
        difference.apply_difference(new, decoded)


def test_revision_never_goes_back_and_differences_catch_up() -> None:
    documents = [builders.build_configuration(revision=1)]
    for revision in range(2, 6):
        edit = edits.set_default("cold_ramp_s", revision)
        documents.append(
            msgspec.structs.replace(edit(documents[-1]), revision=revision)
        )
    source, target = (
        replicas.ConfigurationReplica(),
        replicas.ConfigurationReplica(),
    )
    for item in documents:
        assert source.accept_document(document.encode_document(item), "store")
    raw = document.encode_document(documents[0])
    assert not source.accept_document(raw, "old replica")
    assert target.accept_document(raw, "store")
    offer = source.build_offer(target.revision, target.digest)
    assert offer is not None
    assert offer.difference
    assert target.accept_offer(offer, "peer")
    assert target.current == documents[-1]
    assert source.build_offer(target.revision, target.digest) is None
    assert not source.accept_document(b"rubbish", "store")
    assert source.revision == 5


def test_withdrawn_key_cannot_become_active_again() -> None:
    base = builders.build_configuration()
    withdrawn = edits.update_entry("keys", "workshop-1", state="withdrawn")
    with pytest.raises(exceptions.InvalidConfigurationError):
        edits.replace_document(base)(withdrawn(base))


def test_override_with_the_narrowest_scope_wins() -> None:
    entries = (
        build_override(id="all", value=1.0),
        build_override(
            id="service", value=2.0, scope=model.Scope(service="catalogue")
        ),
        build_override(
            id="both",
            value=3.0,
            scope=model.Scope(service="catalogue", server="catalogue-01"),
        ),
        build_override(id="ended", value=4.0, since_ms=0, until_ms=1),
        build_override(
            id="newer",
            value=5.0,
            since_ms=2_000,
            scope=model.Scope(service="catalogue"),
        ),
    )
    settings = resolution.SettingsResolver(
        builders.build_configuration(exceptions=entries)
    )

    def resolve(**scope: str) -> float:
        return settings.resolve("cold_ramp_s", time.time(), **scope)

    assert resolve() == 1.0
    assert resolve(service="catalogue") == 5.0
    assert resolve(service="catalogue", server="catalogue-01") == 3.0
    assert resolve(service="approvals") == 1.0
    assert settings.resolve("retry_ratio", time.time()) == 0.1


@given(
    st.floats(0, 1), st.floats(0, 1), st.floats(0.001, 0.5), st.floats(0, 60)
)
def test_weight_never_changes_faster_than_its_cap(
    start: float, goal: float, cap: float, at_s: float
) -> None:
    shift = model.Shift(
        id="s",
        service="s",
        place="p",
        from_weight=start,
        to_weight=goal,
        start_ms=0,
        cap_per_s=cap,
        reason="r",
        author="a",
    )
    now = weights.compute_shift_weight(shift, at_s)
    later = weights.compute_shift_weight(shift, at_s + 1.0)
    assert abs(later - now) <= cap + 1e-9
    assert min(start, goal) - 1e-9 <= now <= max(start, goal) + 1e-9
    end_s = at_s + weights.compute_remaining_s(shift, at_s)
    assert weights.compute_shift_weight(shift, end_s) == pytest.approx(goal)


# Guards against test runs beside each other that find no free port, as each
# configuration that is built keeps some until its process ends.
def test_configurations_that_nobody_serves_reserve_no_ports() -> None:
    reserved = len(portreservations._locks)
    builders.build_configuration()
    assert len(portreservations._locks) == reserved
