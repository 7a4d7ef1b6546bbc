"""Whatever is lost or late, a window has one content and a token one holder.

Guards against a day that counts nothing: two reports with different counts, a
token used by two hosts, holders that alternate within the lease.
"""

from __future__ import annotations

import functools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import msgspec
import pytest

from cowslipshift.duties import actions
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies
from cowslipshift.duties import reporting
from cowslipshift.duties import tenure
from tests.fuzz import dutyworld

HOSTS = 3
TICK_S = 0.4
PLANTED_EXAMPLES = 300

hosts = st.integers(0, HOSTS - 1)
times = st.sampled_from([0.1, 0.5, 1.0, 2.0, 2.5, 3.1, 6.0, 11.0])


class DutiesMachine(stateful.RuleBasedStateMachine):
    """Hosts that pause, start again, learn late and lose calls."""

    is_fenced = True

    def __init__(self) -> None:
        super().__init__()
        self.policy = policies.DutyPolicy(is_fenced=self.is_fenced)
        self.now = 0.0
        self.serial = 0
        self.store = dutyworld.Store()
        self.platform = dutyworld.Platform(self.policy)
        self.late: list[tuple[float, functools.partial[object]]] = []
        self.hosts = [self.build_host(n, 1) for n in range(HOSTS)]

    def build_host(self, number: int, incarnation: int) -> dutyworld.Host:
        return dutyworld.Host(f"h{number}", incarnation, self.policy, self.now)

    @stateful.rule(seconds=times)
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.store.expire(self.now)
        self.late = [call for call in self.late if call[0] >= self.now]

    @stateful.rule(ticks=st.sampled_from([1, 3, 10, 25]), without=hosts)
    def run(self, ticks: int, without: int) -> None:
        """All hosts but one work without faults."""
        for _ in range(ticks):
            self.advance(TICK_S)
            for number in range(HOSTS):
                if number != without:
                    self.learn(number, len(self.store.events))
                    self.propose(number)
                    self.answer(number, True)
                    self.send(number)
                    self.deliver(number, True)

    @stateful.rule(number=hosts, limit=st.integers(0, 60))
    def learn(self, number: int, limit: int) -> None:
        """A host's replica catches up, as far as told."""
        host = self.hosts[number]
        for event in self.store.events[host.learnt : limit]:
            host.tenure.record_state(event, self.now)
        host.learnt = max(host.learnt, min(limit, len(self.store.events)))

    @stateful.rule(number=hosts)
    def propose(self, number: int) -> None:
        self.serial += 1
        self.hosts[number].propose(self.now, number, self.serial)

    @stateful.rule(number=hosts, is_answered=st.booleans())
    def answer(self, number: int, is_answered: bool) -> None:
        host = self.hosts[number]
        if host.call is None:
            return
        (action, started_s), host.call = host.call, None
        answer = self.execute(action)
        if is_answered:
            host.record_answer(action, answer, started_s, self.now)
        else:
            host.tenure.record_unanswered(action, self.now)

    @stateful.rule(number=hosts, is_late=st.booleans())
    def lose(self, number: int, is_late: bool) -> None:
        host = self.hosts[number]
        if host.call is None:
            return
        (action, started_s), host.call = host.call, None
        host.tenure.record_unanswered(action, self.now)
        if is_late:
            self.defer(started_s, functools.partial(self.execute, action))

    @stateful.rule(number=hosts)
    def send(self, number: int) -> None:
        self.hosts[number].propose_send(self.now)

    @stateful.rule(number=hosts, is_answered=st.booleans())
    def deliver(self, number: int, is_answered: bool) -> None:
        host = self.hosts[number]
        if host.send is None:
            return
        is_accepted = self.platform.execute(self.now, host.name, *host.send)
        if is_answered:
            host.record_send(is_accepted, self.now)
        else:
            host.record_no_answer(self.now)

    @stateful.rule(number=hosts, is_late=st.booleans())
    def lose_send(self, number: int, is_late: bool) -> None:
        host = self.hosts[number]
        if host.send is None:
            return
        call = functools.partial(self.execute_report, host.name, *host.send)
        host.record_no_answer(self.now)
        if is_late:
            self.defer(self.now, call)

    @stateful.rule(data=st.data())
    def execute_late(self, data: st.DataObject) -> None:
        if self.late:
            index = data.draw(st.integers(0, len(self.late) - 1))
            self.late.pop(index)[1]()

    @stateful.rule(number=hosts)
    def restart(self, number: int) -> None:
        """A host dies with its calls under way and starts again."""
        host = self.hosts[number]
        if host.call is not None:
            self.lose(number, True)
        if host.send is not None:
            self.lose_send(number, True)
        self.hosts[number] = self.build_host(number, host.incarnation + 1)

    @stateful.rule()
    def work_until_fixing(self) -> None:
        """The holder works until it has started a write of the record."""
        for _ in range(20):
            self.run(1, HOSTS)
            for number, host in enumerate(self.hosts):
                self.advance(TICK_S)
                self.propose(number)
                call = host.call
                if call and isinstance(call[0], actions.WriteRecord):
                    return
                self.answer(number, True)

    @stateful.rule()
    def restart_holder(self) -> None:
        for number, host in enumerate(self.hosts):
            if host.tenure.token:
                self.restart(number)

    @stateful.precondition(lambda self: self.is_fenced)
    @stateful.rule()
    def expire_leases(self) -> None:
        """The store loses all leases, as it may while it is down."""
        self.store.leases.clear()
        self.store.expire(self.now)

    def execute(self, action: actions.Action) -> object:
        return self.store.execute(action, self.policy.lease_s, self.now)

    def execute_report(
        self, host: str, token: int, report: model.UsageReport
    ) -> None:
        self.platform.execute(self.now, host, token, report)

    def defer(self, started_s: float, call: functools.partial[object]) -> None:
        self.late.append((started_s + tenure.LATE_CALL_S, call))


class UnfencedDutiesMachine(DutiesMachine):
    """The platform does not check tokens: a lower one must not arrive.

    Calls arrive when they are made, or late after their time-out; a sender
    that stands still between its decision and its call does not count.
    """

    is_fenced = False

    @stateful.rule(seconds=times)
    def advance(self, seconds: float) -> None:
        for number in range(HOSTS):
            self.lose_send(number, True)
        super().advance(seconds)


TestDuties = DutiesMachine.TestCase
TestUnfencedDuties = UnfencedDutiesMachine.TestCase


def build_record_with_token_of_predecessor(state, *args) -> model.Record:
    record = model.build_next_record(state, *args)
    token = max(1, state.token)
    return msgspec.structs.replace(
        record, holder=msgspec.structs.replace(record.holder, token=token)
    )


def propose_and_remember(self, record, names, wall_s) -> model.Record | None:
    self.proposed = PROPOSE_RECORD(self, record, names, wall_s)
    return self.proposed


def propose_report_of_proposal(self, record, now) -> model.UsageReport | None:
    """Take the record that was last proposed for fixed."""
    proposed = getattr(self, "proposed", None)
    return PROPOSE_REPORT(self, proposed or record, now)


PROPOSE_RECORD = reporting.Reporter.propose_record
PROPOSE_REPORT = reporting.Reporter.propose_report


@pytest.mark.parametrize("machine", (DutiesMachine, UnfencedDutiesMachine))
@pytest.mark.parametrize("fault", ("token_used_twice", "sent_before_fixed"))
def test_planted_faults_are_found(monkeypatch, machine, fault) -> None:
    if fault == "token_used_twice":
        monkeypatch.setattr(
            tenure, "model", _ModelWith(build_record_with_token_of_predecessor)
        )
    else:
        reporter = reporting.Reporter
        monkeypatch.setattr(reporter, "propose_record", propose_and_remember)
        monkeypatch.setattr(
            reporter, "propose_report", propose_report_of_proposal
        )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(
            machine, settings=settings(max_examples=PLANTED_EXAMPLES)
        )


class _ModelWith:
    """The module with another function to build records."""

    def __init__(self, build) -> None:
        self.build_next_record = build

    def __getattr__(self, name: str):
        return getattr(model, name)


def test_work_without_faults_reports_every_window() -> None:
    machine = DutiesMachine()
    machine.run(250, HOSTS)
    windows = sorted(machine.platform.reports)
    first = int(dutyworld.START_WALL_S // machine.policy.window_s)
    last = int((dutyworld.START_WALL_S + machine.now - 8.0) // 5.0)
    assert windows[0] == first
    assert windows == list(range(first, windows[-1] + 1))
    assert windows[-1] >= last


def test_oracle_sees_holders_that_alternate() -> None:
    platform = dutyworld.Platform(policies.DutyPolicy())
    report = model.UsageReport(1, {"a": 1})
    platform.execute(0.0, "h1", 1, report)
    platform.execute(1.0, "h2", 2, report)
    with pytest.raises(AssertionError):
        platform.execute(2.0, "h1", 3, report)
