"""A key runs at most once, and "not run" is true, whatever gets lost."""

from __future__ import annotations

import collections

from hypothesis import stateful
from hypothesis import strategies as st
import msgspec

from cowslipshift.coordination import attempts
from cowslipshift.coordination import outcomes
from cowslipshift.serving.entry import idempotency

LONGEST_S = 5.0
SKEWS_S = st.sampled_from([-1.9, -0.5, 0.0, 0.5, 1.9])


class Sent(msgspec.Struct):
    """An attempt on its way from the home of a key to an executor."""

    key: outcomes.IdempotencyKey
    attempt: str
    executor: int
    sent_s: float
    home: int


class OutcomesMachine(stateful.RuleBasedStateMachine):
    """Callers resend keys; homes and executors are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10_000.0
        self.runs: collections.Counter[str] = collections.Counter()
        self.keys: list[outcomes.IdempotencyKey] = []
        self.flying: list[Sent] = []
        self.started: list[Sent] = []
        self.delayed: list[Sent] = []
        self.home = 0
        self.executor = 0
        self.numbers = 0
        self.table = outcomes.OutcomeTable(0.0)
        self.book = attempts.AttemptTable(self.now, LONGEST_S)

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
        verdict = self.table.start("a", key, 1, self.now)
        if verdict is not outcomes.StartDecision.RUN:
            return
        self.numbers += 1
        self.flying.append(
            Sent(key, str(self.numbers), self.executor, self.now, self.home)
        )

    @stateful.precondition(lambda self: self.flying or self.delayed)
    @stateful.rule(data=st.data())
    def deliver(self, data: st.DataObject) -> None:
        """An attempt arrives, perhaps after its sender gave up."""
        sent = data.draw(st.sampled_from(self.flying + self.delayed))
        if sent.executor != self.executor:
            return
        if self.book.try_start(sent.attempt, self.now - sent.sent_s, self.now):
            self.runs[sent.key.text] += 1
            assert self.runs[sent.key.text] == 1, "a key ran twice"
            self.started.append(sent)

    @stateful.precondition(lambda self: self.started)
    @stateful.rule(data=st.data())
    def answer(self, data: st.DataObject) -> None:
        sent = data.draw(st.sampled_from(self.started))
        self.started.remove(sent)
        if sent in self.flying:
            self.flying.remove(sent)
            answer = outcomes.RecordedAnswer(200, [], b"done")
            self.finish(sent, answer)

    @stateful.precondition(lambda self: self.flying)
    @stateful.rule(data=st.data())
    def lose_connection(self, data: st.DataObject) -> None:
        """The home takes the attempt back and believes the answer."""
        sent = data.draw(st.sampled_from(self.flying))
        self.flying.remove(sent)
        self.delayed.append(sent)
        if sent.executor != self.executor:
            recall = attempts.RecallResult.UNKNOWN
        else:
            age_s = self.now - sent.sent_s
            recall = self.book.recall(sent.attempt, age_s, self.now)
        if recall is attempts.RecallResult.NOT_STARTED:
            assert self.runs[sent.key.text] == 0, "a false 'not run'"
            if sent.home == self.home:
                self.table.cancel("a", sent.key.text)
        elif sent.home == self.home:
            self.table.mark_unknown("a", sent.key.text, self.now)

    @stateful.rule()
    def replace_home(self) -> None:
        """The home dies; its successor knows nothing from before."""
        self.home += 1
        self.delayed += self.flying
        self.flying.clear()
        self.table = outcomes.OutcomeTable(self.now)

    @stateful.rule()
    def hand_home_over(self) -> None:
        """The home moves after what it runs has ended."""
        if self.flying:
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
        self.book = attempts.AttemptTable(self.now, LONGEST_S)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 30.0, 950.0]))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        if seconds >= LONGEST_S:
            self.delayed += self.flying
            for sent in self.flying:
                if sent.home == self.home:
                    self.table.mark_unknown("a", sent.key.text, self.now)
            self.flying.clear()

    def finish(self, sent: Sent, answer: outcomes.RecordedAnswer) -> None:
        if sent.home == self.home:
            self.table.finish("a", sent.key.text, answer, self.now)


TestOutcomes = OutcomesMachine.TestCase
