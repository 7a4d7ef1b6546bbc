"""A key runs at most once, and "not run" is reported only if it did not.

Guards against second runs and false reports when attempts or answers are
lost or late, and when owners and executors are replaced.
"""

from __future__ import annotations

import collections

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from cowslipshift.coordination import attempts
from cowslipshift.coordination import outcomes
from cowslipshift.serving.entry import idempotency

LONGEST_DEADLINE_S = 5.0
SKEWS_S = st.sampled_from([-1.9, -0.5, 0.0, 0.5, 1.9])


class SentAttempt(msgspec.Struct):
    """An attempt that the owner of a key sent to an executor."""

    key: outcomes.IdempotencyKey
    attempt: str
    executor: int
    sent_s: float
    owner: int


class OutcomesMachine(stateful.RuleBasedStateMachine):
    """Clients resend keys; owners and executors are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10_000.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.keys: list[outcomes.IdempotencyKey] = []
        self.in_flight: list[SentAttempt] = []
        self.started: list[SentAttempt] = []
        self.delayed: list[SentAttempt] = []
        self.owner = 0
        self.executor = 0
        self.attempt_count = 0
        self.table = outcomes.OutcomeTable(0.0)
        self.attempt_table = attempts.AttemptTable(
            self.now, LONGEST_DEADLINE_S
        )

    @stateful.rule(skew_s=SKEWS_S)
    def make_key(self, skew_s: float) -> None:
        text = idempotency.make_key(wall_s=self.now + skew_s)
        key = outcomes.parse_key(text)
        assert key is not None
        self.keys.append(key)

    @stateful.precondition(lambda self: self.keys)
    @stateful.rule(data=st.data())
    def send(self, data: st.DataObject) -> None:
        key = data.draw(st.sampled_from(self.keys))
        decision = self.table.start("a", key, 1, self.now)
        if decision is not outcomes.StartDecision.RUN:
            return
        self.attempt_count += 1
        self.in_flight.append(
            SentAttempt(
                key,
                str(self.attempt_count),
                self.executor,
                self.now,
                self.owner,
            )
        )

    @stateful.precondition(lambda self: self.in_flight or self.delayed)
    @stateful.rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """Deliver an attempt, perhaps after its sender has given up."""
        sent = data.draw(st.sampled_from(self.in_flight + self.delayed))
        if sent.executor != self.executor:
            return
        if self.attempt_table.try_start(
            sent.attempt, self.now - sent.sent_s, self.now
        ):
            self.runs[sent.key.text] += 1
            assert self.runs[sent.key.text] == 1, "a key ran twice"
            self.started.append(sent)

    @stateful.precondition(lambda self: self.started)
    @stateful.rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.started))
        self.started.remove(sent)
        if sent in self.in_flight:
            self.in_flight.remove(sent)
            answer = outcomes.RecordedAnswer(200, [], b"done")
            self.finish(sent, answer)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=st.data())
    def lose_connection(self, data: st.DataObject) -> None:
        """The owner recalls the attempt and relies on the result."""
        sent = data.draw(st.sampled_from(self.in_flight))
        self.in_flight.remove(sent)
        self.delayed.append(sent)
        if sent.executor != self.executor:
            recall = attempts.RecallResult.UNKNOWN
        else:
            age_s = self.now - sent.sent_s
            recall = self.attempt_table.recall(sent.attempt, age_s, self.now)
        if recall is attempts.RecallResult.NOT_STARTED:
            assert self.runs[sent.key.text] == 0, "a false 'not run'"
            if sent.owner == self.owner:
                self.table.cancel("a", sent.key.text)
        elif sent.owner == self.owner:
            self.table.mark_unknown("a", sent.key.text, self.now)

    @stateful.rule()
    def replace_owner(self) -> None:
        """The owner dies; its successor has no records of it."""
        self.owner += 1
        self.delayed += self.in_flight
        self.in_flight.clear()
        self.table = outcomes.OutcomeTable(self.now)

    @stateful.rule()
    def hand_over_ownership(self) -> None:
        """Ownership moves once no request is in flight."""
        if self.in_flight:
            return
        successor = outcomes.OutcomeTable(self.now)
        raw = msgspec.json.encode(self.table.list_outcomes())
        successor.adopt(
            msgspec.json.decode(raw, type=list[outcomes.Outcome]),
            self.table.known_since_s,
        )
        self.table = successor

    @stateful.rule()
    def replace_executor(self) -> None:
        self.executor += 1
        self.started.clear()
        self.attempt_table = attempts.AttemptTable(
            self.now, LONGEST_DEADLINE_S
        )

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 30.0, 950.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        if seconds >= LONGEST_DEADLINE_S:
            self.delayed += self.in_flight
            for sent in self.in_flight:
                if sent.owner == self.owner:
                    self.table.mark_unknown("a", sent.key.text, self.now)
            self.in_flight.clear()

    def finish(
        self, sent: SentAttempt, answer: outcomes.RecordedAnswer
    ) -> None:
        if sent.owner == self.owner:
            self.table.finish("a", sent.key.text, answer, self.now)


TestOutcomes = OutcomesMachine.TestCase
