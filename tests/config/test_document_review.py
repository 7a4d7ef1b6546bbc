"""Tests of the check of a configuration document."""

from __future__ import annotations

import msgspec
import pytest
from tests import builders

from cowslipshift.config import document
from cowslipshift.config import findings
from cowslipshift.config import model
from cowslipshift.config import review

BASE = builders.build_configuration()
OVERRIDE = model.Override(
    id="x1",
    setting="cold_ramp_s",
    value=5.0,
    scope=model.Scope(service="catalogue"),
    reason="test",
    author="test",
    since_ms=2,
)
CLEAN = builders.build_configuration(
    accounts=tuple(
        msgspec.structs.replace(account, burst=20.0)
        for account in BASE.accounts
    ),
    exceptions=(OVERRIDE,),
)
UNUSED = model.Scope(service="approvals", version="none")
LEAVING, WITHDRAWN = {"state": "leaving"}, {"state": "withdrawn"}
BURST, X1 = "accounts[workshop].burst", "exceptions[x1]"


def check(
    new: model.Configuration, in_force: model.Configuration | None = None
) -> findings.Review:
    raw = document.encode_document(new)
    return review.review_document(raw, in_force, wall_s=1.0)


def test_clean_document_has_no_finding_and_no_difference() -> None:
    assert check(CLEAN).findings == ()
    assert check(CLEAN).skipped == (review.SKIPPED_DIFFERENCE,)
    result = check(CLEAN, CLEAN)
    assert (result.findings, result.changes) == ((), ())


@pytest.mark.parametrize(
    ("section", "fields", "code", "path"),
    [
        ("servers", LEAVING, "service_without_servers", "services[catalogue]"),
        ("keys", WITHDRAWN, "account_without_key", "accounts[workshop]"),
        ("accounts", {"burst": 2e4}, "quota_above_capacity", BURST),
        ("accounts", {"burst": 0.5}, "burst_below_one", BURST),
        ("exceptions", {"until_ms": 2}, "exception_unused", f"{X1}.until_ms"),
        ("exceptions", {"scope": UNUSED}, "exception_unused", f"{X1}.scope"),
    ],
)
def test_entry_without_effect_is_a_warning(
    section, fields, code, path
) -> None:
    changed = tuple(
        msgspec.structs.replace(entry, **fields)
        for entry in getattr(CLEAN, section)
    )
    found = check(msgspec.structs.replace(CLEAN, **{section: changed}))
    assert {(f.severity, f.code) for f in found.findings} == {
        ("warning", code)
    }
    assert path in {f.path for f in found.findings}


@pytest.mark.parametrize(
    ("raw", "code", "path"),
    [
        (b"{", "malformed", "$"),
        (b'{"regions": [{"name": 1}]}', "malformed", "$.regions[0].name"),
        (b'{"format": 99}', "value_invalid", "format"),
        (b" " * 1_000_001, "config_too_large", "$"),
    ],
)
def test_what_hosts_reject_is_an_error(raw, code, path) -> None:
    (found,) = review.review_document(raw, None, 1.0).findings
    assert (found.severity, found.code, found.path) == ("error", code, path)


def test_difference_is_by_field_and_transitions_are_checked() -> None:
    first, *rest = CLEAN.keys
    withdrawn = msgspec.structs.replace(first, state="withdrawn")
    in_force = msgspec.structs.replace(CLEAN, keys=(withdrawn, *rest))
    result = check(CLEAN, in_force)
    assert [f.code for f in result.findings] == ["key_withdrawn"]
    assert result.changes == (
        f'~ keys[{first.id}]: state "withdrawn" -> "active"',
    )
