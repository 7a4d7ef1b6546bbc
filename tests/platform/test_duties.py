"""Settings and entries of the usage reports."""

from __future__ import annotations

import pytest
from tests.edge import daemons

from cowslipshift.duties import model
from cowslipshift.edge import exceptions as edge_exceptions
from cowslipshift.edge import usagemessages
from cowslipshift.platform import duties
from cowslipshift.platform import exceptions
from cowslipshift.platform import names
from cowslipshift.platform import settings as platform_settings
from cowslipshift.store import interface

VALUES = {"name": "one", "centre": "north-a", "region": "north", "port": 1}
VALUES |= {"front": 2, "ready": 3, "directory": 4, "store": "127.0.0.1:5"}


@pytest.mark.parametrize(
    ("table", "expected"),
    (
        ("", None),
        ("[cloud]", None),
        ('[cloud]\naddress = ""\nduties = "x"', None),
        (
            '[cloud]\naddress = "h:1"\nduties = ["usage_report"]',
            ("usage_report",),
        ),
    ),
)
def test_odd_table_of_duties_is_taken_for_none(table, expected) -> None:
    bounds = ', "require_fencing=false"'
    text = daemons.SETTINGS.format(**VALUES, bounds=bounds, tables=table)
    settings, limits = platform_settings.parse_settings(text)
    found = settings.find_duties()
    assert (found and found.duties) == expected
    assert not limits.require_fencing


def test_entry_of_another_writer_is_malformed() -> None:
    with pytest.raises(exceptions.MalformedEntryError):
        duties.decode_item(interface.Item(names.DUTY_RECORD_KEY, b"{}", 3))


def test_end_of_the_lease_leaves_no_holder() -> None:
    item = interface.Item(names.DUTY_HOLDER_KEY, None, 9)
    holder = model.Holder("h1", 1, 1, 1)
    known = model.DutyState(holder, 8, 8)
    assert known.merge(duties.decode_item(item)).holder is None


def test_counts_that_are_cut_off_are_malformed() -> None:
    with pytest.raises(edge_exceptions.PeerError):
        usagemessages.decode_counts(b"\x10\x05")
