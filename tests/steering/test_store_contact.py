"""An outage of the store is told from a lost call."""

from __future__ import annotations

import pytest

from cowslipshift.steering import storecontact


@pytest.fixture
def contact() -> storecontact.StoreContact:
    contact = storecontact.StoreContact()
    contact.record_answer()
    return contact


def test_store_is_unreachable_until_it_answers() -> None:
    contact = storecontact.StoreContact()
    assert not contact.is_reachable
    contact.record_answer()
    assert contact.is_reachable


def test_one_lost_call_is_no_outage(contact) -> None:
    assert not contact.record_failure(1.0, 2.0)
    assert contact.is_reachable
    assert contact.is_suspected


def test_calls_that_are_lost_together_are_no_outage(contact) -> None:
    contact.record_failure(1.0, 2.0)
    assert not contact.record_failure(1.5, 2.1)
    assert contact.is_reachable


def test_call_begun_after_a_failure_confirms_an_outage(contact) -> None:
    contact.record_failure(1.0, 2.0)
    assert contact.record_failure(2.3, 3.3)
    assert not contact.is_reachable
    assert contact.record_failure(3.6, 4.6)


def test_answer_ends_suspicion_and_outage(contact) -> None:
    contact.record_failure(1.0, 2.0)
    contact.record_answer()
    assert not contact.is_suspected
    assert not contact.record_failure(3.0, 4.0)
    contact.record_failure(4.3, 5.3)
    contact.record_answer()
    assert contact.is_reachable
