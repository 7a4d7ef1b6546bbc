"""Limits of a host's connections follow its configuration and settings."""

from __future__ import annotations

import msgspec

from cowslipshift import clock as clocks
from cowslipshift.edge import listeners
from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.platform import codec
from cowslipshift.standins import platformfleet


def test_limits_of_the_configuration_in_force_are_applied() -> None:
    built = listeners.Listeners(clocks.SystemClock(), 4100)
    defaults = inbound_limits.InboundLimits()
    built.tick(None)
    assert built.callers.limits == built.others.limits == defaults
    limits = {
        "max_header_bytes": 9000,
        "max_body_bytes": 70_000,
        "header_timeout_ms": 2500,
        "idle_timeout_ms": 12_000,
    }
    built.tick(
        codec.decode_configuration(platformfleet.build_config(limits=limits))
    )
    callers = inbound_limits.InboundLimits(9000, 70_000, 2.5, 12.0, 12.0)
    assert built.callers.limits == callers
    assert built.others.limits == msgspec.structs.replace(
        callers, idle_timeout_s=75.0
    )


def test_few_descriptors_leave_room_for_requests() -> None:
    assert inbound_limits.choose_max_waiting(80) == 40
    assert inbound_limits.choose_max_waiting(1) == 1
    assert 0 < inbound_limits.choose_max_waiting() <= 2048
    assert inbound_limits.choose_max_waiting(100_000) == 2048
