"""Requests that must run at most once, by their idempotency key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing
from cowslipshift.coordination import outcomes
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.backend import wire
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from cowslipshift import clock as clocks
    from cowslipshift.coordination import ownership
    from cowslipshift.world import atlas as atlases

BUCKETS_PER_CENTRE = 32
"""Buckets of keys in each data centre; each has one home."""

OUTCOME_ROUTE = "(outcome)"
"""Route name of calls that ask what became of a key."""

TRANSFER_WAIT_S = 1.0
TRANSFER_POLL_S = 0.02
MAX_FORWARD_ATTEMPTS = 3


def name_bucket(data_centre: str, account: str, key: str) -> str:
    """Return the resource that a key belongs to."""
    number = hashing.hash_text(f"{account}|{key}") % BUCKETS_PER_CENTRE
    return f"keys:{data_centre}:{number}"


def build_resources(data_centre: str, hold_s: float) -> dict[str, float]:
    """Return the buckets of a data centre with their hold time."""
    return {
        f"keys:{data_centre}:{n}": hold_s for n in range(BUCKETS_PER_CENTRE)
    }


def choose_home_centre(
    atlas: atlases.Atlas, service: str, account: str, key: str
) -> str | None:
    """Return the data centre that is home to a key.

    It depends on the key and on configured places only, never on what is
    reachable: a key that is sent again must find the same home.
    """
    parsed = outcomes.parse_key(key)
    centres = [
        name
        for name in atlas.fleet.list_centres(service)
        if atlas.fleet.data_centres[name].hosts
    ]
    if parsed is not None and parsed.home in centres:
        return parsed.home
    if not centres:
        return None
    return hashing.rank_members(f"{account}|{key}", centres)[0]


class RequestDeduplicator:
    """Runs each key at most once.

    Args:
        host: Name of this host.
        data_centre: Its data centre.
        clock: Source of the present time.
        table: Tells which buckets this host is home to.
        run: Runs a request somewhere.
        forwarder: Passes requests to other hosts.
        list_hosts: Returns the reachable hosts of a data centre, the best
            first.
        starts_fresh: Whether no host was home to any key before.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        clock: clocks.Clock,
        table: ownership.OwnershipTable,
        run: Callable[[calls.Call], Awaitable[calls.Reply]],
        forwarder: forwarding.Forwarder,
        list_hosts: Callable[[str], list[str]],
        starts_fresh: bool,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._clock = clock
        self._table = table
        self._run = run
        self._forwarder = forwarder
        self._list_hosts = list_hosts
        self._starts_fresh = starts_fresh
        self._log = logs.EventLog("keyed")
        self._atlas: atlases.Atlas | None = None
        self._tables: dict[str, outcomes.OutcomeTable] = {}
        self._running: dict[str, asyncio.Task[outcomes.RecordedAnswer]] = {}
        self._moved: set[str] = set()

    def apply(self, atlas: atlases.Atlas) -> None:
        """Follow a new configuration."""
        self._atlas = atlas

    def count_in_flight(self) -> int:
        """Return the keyed requests that run now."""
        return len(self._running)

    async def route(self, call: calls.Call) -> calls.Reply:
        """Send a request to the home of its key and return the answer.

        Raises:
            Refusal: There is no answer; it says whether it may have run.
        """
        centre = self._find_centre(call)
        hop = 0
        while True:
            target = self._find_home(call, centre)
            if target == self._host:
                return await self.run_at_home(call)
            try:
                return await self._forwarder.forward(
                    call, target, calls.Scope.CENTRE, wire.PURPOSE_KEYED
                )
            except refusals.Refusal as refusal:
                hop += 1
                if (
                    refusal.code != "key_home_elsewhere"
                    or hop >= MAX_FORWARD_ATTEMPTS
                ):
                    raise
                await asyncio.sleep(TRANSFER_POLL_S)
            except forwarding.LostForwardError as error:
                hop += 1
                self._check_lost(call, target, error, hop)

    async def run_at_home(self, call: calls.Call) -> calls.Reply:
        """Run a request whose key this host is home to, once.

        Raises:
            Refusal: It did not run, or the outcome is not known.
        """
        key = outcomes.parse_key(call.key)
        assert key is not None
        table = await self._open_table(call)
        if call.route == OUTCOME_ROUTE:
            return _describe_outcome(table, call, key)
        content = call.body.content
        assert content is not None
        fingerprint = hashing.hash_text(
            f"{call.service} {call.method} {call.path} "
        ) ^ hashing.hash_text(content.hex())
        verdict = table.start(
            call.account, key, fingerprint, self._clock.wall()
        )
        name = f"{call.account}|{call.key}"
        self._log.info(
            "keyed", request=call.id, key=call.key, verdict=verdict.value
        )
        if verdict is outcomes.StartDecision.RUN:
            task = asyncio.create_task(self._execute(call, table))
            self._running[name] = task
            task.add_done_callback(lambda _: self._running.pop(name, None))
            return await self._await_answer(call, task)
        if verdict is outcomes.StartDecision.WAIT and name in self._running:
            return await self._await_answer(call, self._running[name])
        if verdict is outcomes.StartDecision.ANSWER:
            record = table.get_outcome(call.account, call.key)
            assert record is not None and record.answer is not None
            return build_reply(record.answer)
        raise _refuse_verdict(verdict)

    def import_table(self, transfer: wire.OutcomeTransfer) -> None:
        """Take over a bucket from its former home."""
        table = self._tables.setdefault(
            transfer.bucket, outcomes.OutcomeTable(self._clock.wall())
        )
        table.adopt(transfer.outcomes, transfer.known_since_s)

    def describe_handover(self, resource: str) -> tuple[int, float]:
        """Tell whether a bucket that was given away is still in use here."""
        return (0 if resource in self._moved else 1), 0.0

    async def transfer_tables(self) -> None:
        """Send the tables of buckets that moved to their new homes."""
        now = self._clock.now()
        mine = set(self._table.list_owned(now))
        self._moved -= mine
        for bucket in list(self._tables):
            owner = self._table.find_owner(bucket, now)
            if bucket in mine or owner is None or owner == self._host:
                continue
            if self._has_running(bucket):
                continue
            table = self._tables[bucket]
            transfer = wire.OutcomeTransfer(
                bucket, table.known_since_s, table.list_outcomes()
            )
            if await self._forwarder.transfer_outcomes(owner, transfer):
                self._tables.pop(bucket, None)
                self._moved.add(bucket)
        for bucket in build_resources(self._data_centre, 0.0):
            if bucket not in self._tables and bucket not in mine:
                self._moved.add(bucket)

    def has_tables_to_transfer(self) -> bool:
        """Tell whether tables wait to be sent to their new homes."""
        now = self._clock.now()
        return any(
            self._table.find_owner(bucket, now) not in (None, self._host)
            for bucket in self._tables
        )

    def _has_running(self, bucket: str) -> bool:
        for name in self._running:
            account, _, key = name.partition("|")
            if name_bucket(self._data_centre, account, key) == bucket:
                return True
        return False

    def _find_centre(self, call: calls.Call) -> str:
        atlas = self._atlas
        if atlas is None:
            raise refusals.refuse_overloaded(
                "this host has no configuration yet"
            )
        centre = choose_home_centre(
            atlas, call.service, call.account, call.key
        )
        if centre is None:
            raise refusals.refuse_overloaded(
                "no data centre serves this service"
            )
        return centre

    def _find_home(self, call: calls.Call, centre: str) -> str:
        bucket = name_bucket(centre, call.account, call.key)
        if centre == self._data_centre:
            owner = self._table.find_owner(bucket, self._clock.now())
            if owner is not None:
                return owner
        hosts = self._list_hosts(centre)
        if not hosts:
            raise refusals.refuse_overloaded(
                f"data centre {centre}, the home of this key, is cut off"
            )
        return hashing.rank_members(bucket, hosts)[0]

    def _check_lost(
        self,
        call: calls.Call,
        target: str,
        error: forwarding.LostForwardError,
        hop: int,
    ) -> None:
        self._log.info(
            "keyed_lost",
            request=call.id,
            target=target,
            not_run=error.not_run,
            reason=error,
        )
        if not error.not_run:
            raise refusals.refuse_unknown_outcome(
                f"the answer of host {target} was lost; ask for the outcome"
            ) from error
        if hop >= MAX_FORWARD_ATTEMPTS or self._clock.now() >= call.deadline_s:
            raise refusals.refuse_overloaded(
                f"host {target}, the home of this key, cannot be reached"
            ) from error

    async def _open_table(self, call: calls.Call) -> outcomes.OutcomeTable:
        """Return the table of a bucket, waiting while it moves here."""
        bucket = name_bucket(self._data_centre, call.account, call.key)
        until_s = min(call.deadline_s, self._clock.now() + TRANSFER_WAIT_S)
        while not self._table.is_active_owner(bucket, self._clock.now()):
            owner = self._table.find_owner(bucket, self._clock.now())
            if owner != self._host:
                raise refusals.Refusal(
                    503,
                    "key_home_elsewhere",
                    "the home of this key moved; send it again",
                    retry_after_ms=100,
                )
            if self._clock.now() >= until_s:
                raise refusals.Refusal(
                    503,
                    "key_home_moving",
                    "the home of this key is moving; send it again",
                    retry_after_ms=1000,
                )
            await asyncio.sleep(TRANSFER_POLL_S)
        table = self._tables.get(bucket)
        if table is None:
            since_s = 0.0 if self._starts_fresh else self._clock.wall()
            table = self._tables[bucket] = outcomes.OutcomeTable(since_s)
        return table

    async def _execute(
        self, call: calls.Call, table: outcomes.OutcomeTable
    ) -> outcomes.RecordedAnswer:
        """Run a request to its end, even if its caller goes away."""
        call.scope = calls.Scope.FLEET
        try:
            reply = await self._run(call)
            body = await reply.read()
        except refusals.Refusal as refusal:
            if refusal.not_run:
                table.cancel(call.account, call.key)
            else:
                table.mark_unknown(call.account, call.key, self._clock.wall())
            raise
        except BaseException:
            table.mark_unknown(call.account, call.key, self._clock.wall())
            raise
        answer = outcomes.RecordedAnswer(reply.status, reply.headers, body)
        table.finish(call.account, call.key, answer, self._clock.wall())
        return answer

    async def _await_answer(
        self, call: calls.Call, task: asyncio.Task[outcomes.RecordedAnswer]
    ) -> calls.Reply:
        remaining_s = call.deadline_s - self._clock.now()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return build_reply(await asyncio.shield(task))
        except TimeoutError as error:
            raise refusals.refuse_timeout() from error
        except refusals.Refusal:
            raise
        except Exception as error:
            raise refusals.refuse_unknown_outcome(
                "the backend server's answer was lost"
            ) from error


def build_reply(answer: outcomes.RecordedAnswer) -> calls.Reply:
    """Turn a recorded answer into a reply.

    Raises:
        Refusal: The body was too large to keep.
    """
    if answer.body is None:
        raise refusals.Refusal(
            409,
            "answer_not_kept",
            f"the request ran and was answered with status {answer.status}, "
            "its body was too large to keep",
            not_run=False,
        )
    return calls.Reply(answer.status, answer.headers, content=answer.body)


def _describe_outcome(
    table: outcomes.OutcomeTable,
    call: calls.Call,
    key: outcomes.IdempotencyKey,
) -> calls.Reply:
    record = table.get_outcome(call.account, call.key)
    status = None
    if record is not None:
        state = record.state.value
        status = record.answer.status if record.answer else None
    elif key.created_s > table.known_since_s + outcomes.CLOCK_SKEW_S:
        state = "never_run"
    else:
        state = outcomes.State.UNKNOWN.value
    raw = msgspec.json.encode({"state": state, "status": status})
    headers = [("Content-Type", "application/json")]
    return calls.Reply(200, headers, content=raw)


def _refuse_verdict(verdict: outcomes.StartDecision) -> refusals.Refusal:
    if verdict is outcomes.StartDecision.MISMATCH:
        return refusals.Refusal(
            422,
            "idempotency_key_reused",
            "the idempotency key was used for another request",
        )
    if verdict is outcomes.StartDecision.TOO_NEW:
        return refusals.refuse_malformed(
            "idempotency_key_time",
            "the idempotency key was made in the future; set the clock",
        )
    if verdict is outcomes.StartDecision.TOO_OLD:
        return refusals.Refusal(
            409,
            "outcome_unknown",
            "the idempotency key is too old to know whether it was run",
            not_run=False,
        )
    if verdict is outcomes.StartDecision.FULL:
        return refusals.refuse_overloaded(
            "too many idempotency keys are in use"
        )
    return refusals.Refusal(
        409,
        "outcome_unknown",
        "it is not known whether a request with this key was run",
        not_run=False,
    )
