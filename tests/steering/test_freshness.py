"""How recently a replica of the store is known to have been current."""

from __future__ import annotations

import math

from cowslipshift.steering import freshness
from cowslipshift.store import interface


def at(revision: int, era: int = 1) -> interface.Position:
    return interface.Position(era, revision)


def test_replica_that_was_never_proven_current_has_no_age() -> None:
    assert freshness.Freshness().measure_age(5.0) == math.inf


def test_newest_proof_counts_whatever_its_order() -> None:
    replica = freshness.Freshness()
    replica.record_proof(at(7), 10.0, at(8))
    replica.record_proof(at(8), 9.0, at(8))
    assert replica.measure_age(12.0) == 2.0


# Guards against a host that takes itself for current because another one is.
def test_proof_of_a_later_revision_counts_once_it_is_reached() -> None:
    replica = freshness.Freshness()
    replica.record_proof(at(7), 10.0, at(7))
    replica.record_proof(at(9), 11.0, at(7))
    replica.advance(at(8))
    assert replica.measure_age(12.0) == 2.0
    replica.advance(at(9))
    assert replica.measure_age(12.0) == 1.0


def test_time_that_passed_unnoticed_ends_all_proofs() -> None:
    replica = freshness.Freshness()
    replica.record_proof(at(7), 10.0, at(7))
    replica.record_proof(at(9), 11.0, at(7))
    replica.reset()
    replica.advance(at(9))
    assert replica.measure_age(12.0) == math.inf


# Guards against a host that takes its replica for current because another one
# follows the store as it was before it lost a part of its history.
def test_proof_of_an_earlier_era_proves_nothing() -> None:
    replica = freshness.Freshness()
    replica.record_proof(at(9), 10.0, at(7, era=2))
    replica.advance(at(9, era=2))
    assert replica.measure_age(12.0) == math.inf
