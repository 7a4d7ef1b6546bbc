"""Outcomes of non-idempotent requests by idempotency key.

One host at a time owns a key, so that its table decides whether a request
runs. An owner that took over without its predecessor's table knows nothing
of keys that may have been used before. Keys contain the time of their
creation, and requests with such older keys are answered with "outcome
unknown".
"""

from __future__ import annotations

import collections
import enum
import re

import msgspec

RETENTION_S = 900.0
"""Time for which outcomes are kept after they are known."""

MAX_RECORDS = 50_000
MAX_BODY_BYTES = 65_536
"""Of larger answers only the fact that the request was done is kept."""

CLOCK_SKEW_S = 2.0
"""Largest allowed difference between the clocks of clients and hosts."""

_KEY = re.compile(
    r"^(?:(?P<home>[A-Za-z0-9][A-Za-z0-9._-]{0,62}):)?"
    r"(?P<uuid>[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}"
    r"-[0-9a-f]{12})$"
)


class IdempotencyKey(msgspec.Struct, frozen=True):
    """A parsed idempotency key: ``[data-centre:]uuid-version-7``.

    Attributes:
        text: The key as received.
        home: Home data centre that the key names, if any.
        created_s: Unix time in seconds at which it was created.
    """

    text: str
    home: str | None
    created_s: float


def parse_key(text: str) -> IdempotencyKey | None:
    """Parse an idempotency key; return ``None`` if it is malformed."""
    match = _KEY.match(text)
    if match is None:
        return None
    digits = match["uuid"].replace("-", "")
    return IdempotencyKey(text, match["home"], int(digits[:12], 16) / 1000)


class State(enum.Enum):
    """State of a request, as recorded under its key."""

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"


class RecordedAnswer(msgspec.Struct, frozen=True):
    """A backend server's answer, as recorded for repeated requests.

    Attributes:
        status: HTTP status.
        headers: Headers that are returned to the client.
        body: The body, or ``None`` if it was too large to keep.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | None


class Outcome(msgspec.Struct):
    """Record of a request with an idempotency key.

    Attributes:
        key: Client account and idempotency key.
        fingerprint: Hash of service, method, path and body, to detect that
            a key is used for another request.
        state: What is known of the request.
        changed_s: Unix time in seconds of the last change.
        answer: The answer, if the request is done.
    """

    key: str
    fingerprint: int
    state: State
    changed_s: float
    answer: RecordedAnswer | None = None


class StartDecision(enum.Enum):
    """What the owner of a key decides on a request with this key."""

    RUN = "run"
    WAIT = "wait"
    ANSWER = "answer"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    TOO_OLD = "too_old"
    TOO_NEW = "too_new"
    FULL = "full"


class OutcomeTable:
    """Outcomes of one bucket of keys.

    Args:
        known_since_s: Unix time in seconds since which this table has
            recorded every key that was run.
    """

    def __init__(self, known_since_s: float) -> None:
        self.known_since_s = known_since_s
        self._records: collections.OrderedDict[str, Outcome] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def start(
        self,
        account: str,
        key: IdempotencyKey,
        fingerprint: int,
        wall_s: float,
    ) -> StartDecision:
        """Decide on a request and record it as running if it may run.

        Args:
            account: The client account.
            key: Idempotency key of the request.
            fingerprint: Hash of the request.
            wall_s: Unix time in seconds.
        """
        self._expire(wall_s)
        record = self._records.get(f"{account}|{key.text}")
        if record is not None:
            return _decide_on_record(record, fingerprint)
        if key.created_s > wall_s + CLOCK_SKEW_S:
            return StartDecision.TOO_NEW
        if key.created_s < wall_s - RETENTION_S + CLOCK_SKEW_S:
            return StartDecision.TOO_OLD
        if key.created_s <= self.known_since_s + CLOCK_SKEW_S:
            return StartDecision.UNKNOWN
        if len(self._records) >= MAX_RECORDS:
            return StartDecision.FULL
        name = f"{account}|{key.text}"
        self._records[name] = Outcome(name, fingerprint, State.RUNNING, wall_s)
        return StartDecision.RUN

    def finish(
        self, account: str, key: str, answer: RecordedAnswer, wall_s: float
    ) -> None:
        """Record the answer of the backend server."""
        record = self._records.get(f"{account}|{key}")
        if record is None:
            return
        if answer.body is not None and len(answer.body) > MAX_BODY_BYTES:
            answer = RecordedAnswer(answer.status, answer.headers, None)
        record.state = State.DONE
        record.answer = answer
        record.changed_s = wall_s
        self._records.move_to_end(record.key)

    def mark_unknown(self, account: str, key: str, wall_s: float) -> None:
        """Record that it is unknown whether a running request was executed."""
        record = self._records.get(f"{account}|{key}")
        if record is not None and record.state is State.RUNNING:
            record.state = State.UNKNOWN
            record.changed_s = wall_s
            self._records.move_to_end(record.key)

    def cancel(self, account: str, key: str) -> None:
        """Remove the record of a request that is known not to have run."""
        self._records.pop(f"{account}|{key}", None)

    def get_outcome(self, account: str, key: str) -> Outcome | None:
        """Return the record of a key, or ``None``."""
        return self._records.get(f"{account}|{key}")

    def list_outcomes(self) -> list[Outcome]:
        """Return all records, oldest first."""
        return list(self._records.values())

    def adopt(self, outcomes: list[Outcome], known_since_s: float) -> None:
        """Import the records of the former owner's table.

        Requests that were running when it was transferred become unknown.
        """
        for outcome in outcomes:
            if outcome.state is State.RUNNING:
                outcome.state = State.UNKNOWN
            self._records.setdefault(outcome.key, outcome)
        self.known_since_s = min(self.known_since_s, known_since_s)

    def _expire(self, wall_s: float) -> None:
        """Remove old records; keys as old as these are refused anyway."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if wall_s - oldest.changed_s <= RETENTION_S:
                break
            if oldest.state is State.RUNNING:
                self._records.move_to_end(oldest.key)
                oldest.changed_s = wall_s
                continue
            self._records.popitem(last=False)


def _decide_on_record(record: Outcome, fingerprint: int) -> StartDecision:
    if record.fingerprint != fingerprint:
        return StartDecision.MISMATCH
    if record.state is State.RUNNING:
        return StartDecision.WAIT
    if record.state is State.UNKNOWN:
        return StartDecision.UNKNOWN
    return StartDecision.ANSWER
