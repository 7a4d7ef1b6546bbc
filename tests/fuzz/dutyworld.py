"""A store, a platform and hosts that report usage, without a network."""

from __future__ import annotations

import collections

from cowslipshift.duties import actions
from cowslipshift.duties import collection
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies
from cowslipshift.duties import reporting
from cowslipshift.duties import tenure

START_WALL_S = 1_000_000.0


class Platform:
    """Oracle: knows every call that the platform has executed."""

    def __init__(self, policy: policies.DutyPolicy) -> None:
        self.policy = policy
        self.reports: dict[int, dict[str, int]] = {}
        self.hosts_by_token: dict[int, str] = {}
        self.acts: collections.deque[tuple[float, str]] = collections.deque()

    def execute(
        self, now: float, host: str, token: int, report: model.UsageReport
    ) -> bool:
        """Execute a call; return whether it was accepted."""
        highest = max(self.hosts_by_token, default=0)
        assert self.hosts_by_token.setdefault(token, host) == host
        if token < highest:
            assert self.policy.is_fenced, "a lower token arrived"
            return False
        known = self.reports.setdefault(report.window, report.counts)
        assert known == report.counts, "two contents for one window"
        self.acts.append((now, host))
        while now - self.acts[0][0] >= self.policy.lease_s:
            self.acts.popleft()
        order = [acting for _, acting in self.acts]
        turns = 1 + sum(a != b for a, b in zip(order, order[1:], strict=False))
        assert turns == len(set(order)), "holders alternate"
        return True


class Store:
    """Both entries with their leases, and what watchers are told of them."""

    def __init__(self) -> None:
        self.state = model.DutyState()
        self.events = [self.state]
        self.leases: dict[int, float] = {}
        self._revision = 1
        self._granted = 0

    def expire(self, now: float) -> None:
        """End leases, and the holder's entry with its own."""
        self.leases = {
            lease: end_s for lease, end_s in self.leases.items() if end_s > now
        }
        holder = self.state.holder
        if holder is not None and holder.lease not in self.leases:
            self._revision += 1
            self.apply(model.DutyState(holder_seen=self._revision))

    def apply(self, change: model.DutyState) -> None:
        """Change entries and tell watchers of each by itself."""
        self.state = self.state.merge(change)
        if change.holder_seen:
            self.events.append(
                model.DutyState(
                    change.holder, change.holder_revision, change.holder_seen
                )
            )
        if change.record_revision:
            self.events.append(
                model.DutyState(
                    record=change.record,
                    record_revision=change.record_revision,
                )
            )

    def execute(
        self, action: actions.Action, ttl_s: float, now: float
    ) -> object:
        """Execute a call and return its answer."""
        match action:
            case actions.GrantLease():
                self._granted += 1
                self.leases[self._granted] = now + ttl_s
                return self._granted
            case actions.RenewLease(lease):
                is_alive = lease in self.leases
                if is_alive:
                    self.leases[lease] = now + ttl_s
                return is_alive
            case actions.EndLease(lease):
                self.leases.pop(lease, None)
                self.expire(now)
                return None
            case actions.ReadState():
                return self.state
            case actions.WriteRecord():
                return self._write(action)

    def _write(self, write: actions.WriteRecord) -> int | None:
        state, expected, record = self.state, write.expected, write.record
        is_expected = (
            state.holder_revision == expected.holder_revision
            and state.record_revision == expected.record_revision
        )
        if not is_expected or (
            write.is_take and record.holder.lease not in self.leases
        ):
            return None
        self._revision += 1
        rev = self._revision
        change = model.DutyState(record=record, record_revision=rev)
        if write.is_take:
            self._revision = last = rev + 1
            change = model.DutyState(record.holder, last, last, record, rev)
        self.apply(change)
        return self._revision


class Host:
    """A host: its decisions, and its calls that are under way."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        policy: policies.DutyPolicy,
        now: float,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.tenure = tenure.Tenure(name, incarnation, policy, now)
        self.reporter = reporting.Reporter(policy)
        self.learnt = 0
        self.call: tuple[actions.Action, float] | None = None
        self.send: tuple[int, model.UsageReport] | None = None

    def propose(self, now: float, rank: int, serial: int) -> None:
        """Start the call that is due; the counts of every fix differ."""
        if self.call is not None:
            return
        wall_s, record = START_WALL_S + now, self.tenure.state.record
        fixed = None
        if record is not None and self.tenure.is_holder(now):
            window = record.next_window
            counted = collection.HostCounts(serial, {window: {"a": serial}})
            collected = self.reporter.collected
            collected.clear()
            collected.record_counts(self.name, counted, wall_s)
            fixed = self.reporter.propose_record(record, [self.name], wall_s)
        action = self.tenure.propose(
            now, self.reporter.get_window(wall_s), rank, fixed
        )
        if action is not None:
            self.call = action, now

    def record_answer(
        self,
        action: actions.Action,
        answer: object,
        started_s: float,
        now: float,
    ) -> None:
        """Tell the decisions what the store answered."""
        match action:
            case actions.GrantLease():
                self.tenure.record_lease(answer, started_s)
            case actions.RenewLease():
                self.tenure.record_renewal(answer, started_s)
            case actions.ReadState():
                self.tenure.record_read(answer, now)
            case actions.WriteRecord():
                self.tenure.record_write(action, answer, now)

    def propose_send(self, now: float) -> None:
        """Start sending the report that is due."""
        record = self.tenure.state.record
        if self.send or record is None or not self.tenure.may_call(now):
            return
        report = self.reporter.propose_report(record, now)
        if report is not None:
            self.send = self.tenure.token, report

    def record_send(self, is_accepted: bool, now: float) -> None:
        """Tell the decisions what the platform answered."""
        token, report = self.send
        self.send = None
        if is_accepted:
            self.reporter.record_accepted(report.window, now)
            return
        self.reporter.record_deferred(True, now)
        if self.tenure.token == token:
            self.tenure.give_up(now)

    def record_no_answer(self, now: float) -> None:
        """Tell the decisions that the platform did not answer."""
        token, _ = self.send
        self.send = None
        self.reporter.record_deferred(False, now)
        if self.reporter.is_cut_off(now) and self.tenure.token == token:
            self.tenure.give_up(now)
