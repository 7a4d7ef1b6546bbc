"""Limits of the connections that others open to a host on a platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.inbound import limits as inbound_limits
from cowslipshift.inbound import register

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.steering import model


class Listeners:
    """The connections to all ports of a host.

    Callers cannot use up what is left for look-ups, readiness and other
    hosts, nor the other way round.

    Args:
        clock: Source of the present time.
        max_descriptors: Descriptors that the process may open; 0 if unknown.

    Attributes:
        callers: Connections of callers.
        others: Connections to all other ports.
    """

    def __init__(self, clock: clocks.Clock, max_descriptors: int) -> None:
        max_waiting = inbound_limits.choose_max_waiting(max_descriptors)
        self.callers = register.ConnectionRegister(clock, max_waiting)
        self.others = register.ConnectionRegister(
            clock, max(1, max_waiting // 2)
        )
        self._applied: model.Limits | None = None

    def tick(self, configuration: model.Configuration | None) -> None:
        """Apply the limits in force, and close what has waited too long.

        Args:
            configuration: The configuration in force, if one is known.
        """
        if configuration is not None:
            self._apply(configuration.limits)
        self.callers.close_expired()
        self.others.close_expired()

    def _apply(self, limits: model.Limits) -> None:
        if limits is self._applied:
            return
        self._applied = limits
        defaults = inbound_limits.InboundLimits()
        self.callers.limits = inbound_limits.InboundLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
            limits.idle_timeout_s,
        )
        # Clients of these ports are not told how long they may be idle.
        self.others.limits = inbound_limits.InboundLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout_s,
            max(limits.idle_timeout_s, defaults.idle_timeout_s),
            limits.idle_timeout_s,
        )
