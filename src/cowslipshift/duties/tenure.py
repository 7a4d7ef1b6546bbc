"""Decides whether this host holds a duty, and when it tries to take it."""

from __future__ import annotations

import math

from cowslipshift.duties import actions
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies

LEASE_MARGIN_FRACTION = 0.2
"""Fraction of a lease before whose end its holder stops."""

RENEWAL_FRACTION = 1 / 3
RETRY_DELAY_S = 0.3
START_DELAY_S = 3.0
"""A host that has just started may not know the other hosts yet."""

RANK_STEP_S = 0.4
"""Time by which the next candidate tries later: a change takes about as long
to reach the other hosts."""

LATE_CALL_S = 12.0
"""A call without an answer may be executed this much later."""

RETURN_LEASES = 2.0
"""Leases after its own late calls for which a former holder leaves the duty
to others."""

COOLDOWN_S = 10.0
"""How long a host that gave the duty up does not try to take it."""


class Tenure:
    """One host's part in holding a duty; makes one call at a time.

    All times are seconds of a clock that counts suspensions of the machine.

    Args:
        host: Name of this host.
        incarnation: Which process of the host this is.
        policy: Bounds of the duty.
        now: Present time.

    Attributes:
        state: What is known of the store's entries.
        token: Fencing token of this tenure; 0 if this host has none.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        policy: policies.DutyPolicy,
        now: float,
    ) -> None:
        self.state = model.DutyState()
        self.token = 0
        self._host = host
        self._incarnation = incarnation
        self._policy = policy
        self._lost_token = 0
        self._lease = 0
        self._until_s = -math.inf
        self._next_renewal_s = -math.inf
        self._first_call_s = -math.inf
        self._ended_lease = 0
        self._needs_read = False
        self._retry_s = -math.inf
        self._earliest_take_s = now + START_DELAY_S
        self._vacant_since_s: float | None = None
        self._token_seen_s = now

    def is_holder(self, now: float) -> bool:
        """Tell whether this host holds the duty for certain."""
        return self.token > 0 and now < self._until_s

    def may_call(self, now: float) -> bool:
        """Tell whether this host may make calls that are its duty."""
        return self.is_holder(now) and now >= self._first_call_s

    def measure_left(self, now: float) -> float:
        """Return the seconds for which the duty is certainly held."""
        return self._until_s - now if self.token else 0.0

    def record_state(self, state: model.DutyState, now: float) -> None:
        """Record entries of the store, whole or in part, new or old."""
        token = self.state.token
        self.state = self.state.merge(state)
        if self.state.token != token:
            self._token_seen_s = now
        if self.state.holder is not None:
            self._vacant_since_s = None
        elif self._vacant_since_s is None:
            self._vacant_since_s = now
        if self.token and not self._is_own(self.state.holder):
            self._drop()

    def propose(
        self,
        now: float,
        present_window: int,
        rank: int,
        fixed: model.Record | None,
    ) -> actions.Action | None:
        """Return the next call to make, if one is due.

        Args:
            now: Present time.
            present_window: Window of the present time of day.
            rank: Position of this host among the candidates, from 0.
            fixed: The record with the next report, if there is one to fix.
        """
        if self._ended_lease:
            lease, self._ended_lease = self._ended_lease, 0
            return actions.EndLease(lease)
        if self.token and now >= self._next_renewal_s:
            return actions.RenewLease(self._lease)
        if now < self._retry_s:
            return None
        if self._needs_read:
            return actions.ReadState()
        if not self.token:
            return self._propose_taking(now, present_window, rank)
        if fixed is None or not self.is_holder(now):
            return None
        return actions.WriteRecord(self.state, fixed, False)

    def record_lease(self, lease: int, started_s: float) -> None:
        """Record that a lease was created by a call made at a time."""
        self._lease = lease
        self._extend(started_s)

    def record_renewal(self, is_alive: bool, started_s: float) -> None:
        """Record the answer to the renewal of the lease.

        The holder's entry ends with the lease and with nothing else, so that
        while the lease is alive no other host has taken the duty.
        """
        if not is_alive:
            self._drop()
        elif self._lease:
            self._extend(started_s)
            holder = self.state.holder
            if not self.token and holder and self._is_own(holder):
                self._begin(holder.token, started_s)

    def record_write(
        self, write: actions.WriteRecord, revision: int | None, now: float
    ) -> None:
        """Record the answer to a write.

        Args:
            write: The write.
            revision: Its store revision; ``None`` if it was not executed.
            now: Present time.
        """
        if revision is None:
            self._needs_read = True
            self._retry_s = now + RETRY_DELAY_S
            return
        if write.is_take:
            # Each entry has a revision of its own.
            self._needs_read = True
            self._retry_s = now
            return
        self.record_state(
            model.DutyState(record=write.record, record_revision=revision),
            now,
        )

    def record_read(self, state: model.DutyState, now: float) -> None:
        """Record both entries as they were read from the store."""
        self._needs_read = False
        self.record_state(state, now)
        holder = self.state.holder
        if not self.token and holder and self._is_own(holder):
            self._begin(holder.token, now)

    def record_unanswered(self, action: actions.Action, now: float) -> None:
        """Record a call without an answer, which may have been executed."""
        self._retry_s = now + RETRY_DELAY_S
        if isinstance(action, actions.RenewLease):
            self._next_renewal_s = now + RETRY_DELAY_S
        elif isinstance(action, actions.WriteRecord):
            self._needs_read = True

    def begin_era(self, now: float) -> None:
        """Stop, as the store may have lost the lease and both entries.

        The duty may be taken again once the entries have been read.
        """
        self._lost_token = max(self._lost_token, self.state.token)
        self.state = model.DutyState()
        self._ended_lease = 0
        self._needs_read = True
        self._retry_s = now
        self._vacant_since_s = None
        self._drop()

    def give_up(self, now: float) -> None:
        """End the tenure at once, and leave the duty to others for a while."""
        self._ended_lease = self._lease
        self._drop()
        self._earliest_take_s = now + COOLDOWN_S

    def _propose_taking(
        self, now: float, present_window: int, rank: int
    ) -> actions.Action | None:
        state = self.state
        if state.holder is not None:
            # Taken by a call whose answer was lost.
            is_taken = self._lease and self._is_own(state.holder)
            return actions.RenewLease(self._lease) if is_taken else None
        if self._vacant_since_s is None:
            return None
        due_s = max(self._vacant_since_s, self._earliest_take_s)
        if state.record is not None and self._host in state.record.former:
            rest_s = RETURN_LEASES * self._policy.lease_s + LATE_CALL_S
            due_s = max(due_s, self._token_seen_s + rest_s)
        if now < due_s + rank * RANK_STEP_S:
            return None
        if not self._lease or now >= self._until_s:
            return actions.GrantLease(self._policy.lease_s)
        record = model.build_next_record(
            state,
            self._host,
            self._incarnation,
            self._lease,
            present_window,
            self._lost_token,
        )
        return actions.WriteRecord(state, record, True)

    def _is_own(self, holder: model.Holder | None) -> bool:
        return (
            holder is not None
            and holder.host == self._host
            and holder.incarnation == self._incarnation
            and holder.lease == self._lease
        )

    def _begin(self, token: int, now: float) -> None:
        self.token = token
        self._first_call_s = now
        if not self._policy.is_fenced and token > 1:
            self._first_call_s += self._policy.lease_s + LATE_CALL_S

    def _extend(self, started_s: float) -> None:
        lease_s = self._policy.lease_s
        self._until_s = started_s + lease_s * (1.0 - LEASE_MARGIN_FRACTION)
        self._next_renewal_s = started_s + lease_s * RENEWAL_FRACTION

    def _drop(self) -> None:
        self.token = self._lease = 0
