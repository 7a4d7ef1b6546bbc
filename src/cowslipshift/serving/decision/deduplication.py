"""Deduplication of requests by idempotency key: each runs at most once."""

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
    from cowslipshift.topology import index as indexes

BUCKETS_PER_CENTRE = 32
"""Buckets of idempotency keys in each data centre; one host owns each."""

OUTCOME_ROUTE = "(outcome)"
"""Route name of calls that query the outcome of an idempotency key."""

TRANSFER_WAIT_S = 1.0
TRANSFER_POLL_S = 0.02
MAX_FORWARD_ATTEMPTS = 3


def name_bucket(data_centre: str, account: str, key: str) -> str:
    """Return the resource name of the bucket that a key belongs to."""
    number = hashing.hash_text(f"{account}|{key}") % BUCKETS_PER_CENTRE
    return f"keys:{data_centre}:{number}"


def build_resources(data_centre: str, hold_s: float) -> dict[str, float]:
    """Return all buckets of a data centre with their hold time in seconds."""
    return {
        f"keys:{data_centre}:{n}": hold_s for n in range(BUCKETS_PER_CENTRE)
    }


def choose_home_centre(
    config_index: indexes.ConfigurationIndex,
    service: str,
    account: str,
    key: str,
) -> str | None:
    """Return the home data centre of a key, or None if no centre qualifies.

    It depends only on the key and the configuration, never on which hosts are
    reachable, since a repeated request must reach the same home.
    """
    parsed = outcomes.parse_key(key)
    centres = [
        name
        for name in config_index.fleet.list_centres(service)
        if config_index.fleet.data_centres[name].hosts
    ]
    if parsed is not None and parsed.home in centres:
        return parsed.home
    if not centres:
        return None
    return hashing.rank_members(f"{account}|{key}", centres)[0]


class RequestDeduplicator:
    """Runs at most one request for each idempotency key.

    A request is forwarded to the host that owns the bucket of its key, in the
    home data centre of the key. That host records the outcome.

    Args:
        host: Name of this host.
        data_centre: Data centre of this host.
        clock: Source of the present time.
        ownership_table: Ownership of buckets in this data centre.
        run: Runs a request on any host.
        forwarder: Forwards requests to other hosts.
        list_hosts: Returns the reachable hosts of a data centre, best first.
        starts_fresh: Whether no host has owned any bucket before.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        clock: clocks.Clock,
        ownership_table: ownership.OwnershipTable,
        run: Callable[[calls.Call], Awaitable[calls.Reply]],
        forwarder: forwarding.Forwarder,
        list_hosts: Callable[[str], list[str]],
        starts_fresh: bool,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._clock = clock
        self._ownership_table = ownership_table
        self._run = run
        self._forwarder = forwarder
        self._list_hosts = list_hosts
        self._starts_fresh = starts_fresh
        self._log = logs.EventLog("keyed")
        self._config_index: indexes.ConfigurationIndex | None = None
        self._tables: dict[str, outcomes.OutcomeTable] = {}
        self._in_flight: dict[str, asyncio.Task[outcomes.RecordedAnswer]] = {}
        self._transferred: set[str] = set()

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration."""
        self._config_index = config_index

    def count_in_flight(self) -> int:
        """Return the number of requests with a key that are in flight here."""
        return len(self._in_flight)

    async def route(self, call: calls.Call) -> calls.Reply:
        """Run a request on the host that owns its key.

        Raises:
            Refusal: There is no answer. It says whether the request may have
                been run.
        """
        centre = self._find_centre(call)
        attempts = 0
        while True:
            target = self._find_owner(call, centre)
            if target == self._host:
                return await self.run_as_owner(call)
            try:
                return await self._forwarder.forward(
                    call, target, calls.Scope.CENTRE, wire.PURPOSE_KEYED
                )
            except refusals.Refusal as refusal:
                attempts += 1
                if (
                    refusal.code != "key_home_elsewhere"
                    or attempts >= MAX_FORWARD_ATTEMPTS
                ):
                    raise
                await asyncio.sleep(TRANSFER_POLL_S)
            except forwarding.ForwardFailedError as error:
                attempts += 1
                self._handle_failed_forward(call, target, error, attempts)

    async def run_as_owner(self, call: calls.Call) -> calls.Reply:
        """Run a request whose key this host owns, unless it was run before.

        A repeated request gets the recorded answer, or waits for the request
        that is in flight.

        Raises:
            Refusal: The request was not run, or its outcome is unknown.
        """
        key = outcomes.parse_key(call.key)
        assert key is not None
        table = await self._wait_for_table(call)
        if call.route == OUTCOME_ROUTE:
            return _describe_outcome(table, call, key)
        content = call.body.content
        assert content is not None
        fingerprint = hashing.hash_text(
            f"{call.service} {call.method} {call.path} "
        ) ^ hashing.hash_text(content.hex())
        decision = table.start(
            call.account, key, fingerprint, self._clock.wall()
        )
        record_key = f"{call.account}|{call.key}"
        self._log.info(
            "keyed", request=call.id, key=call.key, verdict=decision.value
        )
        if decision is outcomes.StartDecision.RUN:
            task = asyncio.create_task(self._execute(call, table))
            self._in_flight[record_key] = task
            task.add_done_callback(
                lambda _: self._in_flight.pop(record_key, None)
            )
            return await self._await_answer(call, task)
        if (
            decision is outcomes.StartDecision.WAIT
            and record_key in self._in_flight
        ):
            return await self._await_answer(call, self._in_flight[record_key])
        if decision is outcomes.StartDecision.ANSWER:
            record = table.get_outcome(call.account, call.key)
            assert record is not None and record.answer is not None
            return build_reply(record.answer)
        raise _refuse_decision(decision)

    def import_table(self, transfer: wire.OutcomeTransfer) -> None:
        """Import the outcomes of a bucket from its former owner."""
        table = self._tables.setdefault(
            transfer.bucket, outcomes.OutcomeTable(self._clock.wall())
        )
        table.adopt(transfer.outcomes, transfer.known_since_s)

    def describe_handover(self, resource: str) -> tuple[int, float]:
        """Return what a new owner of a bucket has to wait for.

        Returns:
            1 until the outcomes of the bucket have been transferred, then 0,
            and no waiting time in seconds.
        """
        return (0 if resource in self._transferred else 1), 0.0

    async def transfer_tables(self) -> None:
        """Send the outcome tables of buckets to their new owners."""
        now = self._clock.now()
        owned = set(self._ownership_table.list_owned(now))
        self._transferred -= owned
        for bucket in list(self._tables):
            owner = self._ownership_table.find_owner(bucket, now)
            if bucket in owned or owner is None or owner == self._host:
                continue
            if self._has_in_flight(bucket):
                continue
            table = self._tables[bucket]
            transfer = wire.OutcomeTransfer(
                bucket, table.known_since_s, table.list_outcomes()
            )
            if await self._forwarder.transfer_outcomes(owner, transfer):
                self._tables.pop(bucket, None)
                self._transferred.add(bucket)
        for bucket in build_resources(self._data_centre, 0.0):
            if bucket not in self._tables and bucket not in owned:
                self._transferred.add(bucket)

    def has_tables_to_transfer(self) -> bool:
        """Return whether outcome tables have yet to be sent to new owners."""
        now = self._clock.now()
        return any(
            self._ownership_table.find_owner(bucket, now)
            not in (None, self._host)
            for bucket in self._tables
        )

    def _has_in_flight(self, bucket: str) -> bool:
        for record_key in self._in_flight:
            account, _, key = record_key.partition("|")
            if name_bucket(self._data_centre, account, key) == bucket:
                return True
        return False

    def _find_centre(self, call: calls.Call) -> str:
        config_index = self._config_index
        if config_index is None:
            raise refusals.refuse_overloaded(
                "this host has no configuration yet"
            )
        centre = choose_home_centre(
            config_index, call.service, call.account, call.key
        )
        if centre is None:
            raise refusals.refuse_overloaded(
                "no data centre has servers for this service"
            )
        return centre

    def _find_owner(self, call: calls.Call, centre: str) -> str:
        bucket = name_bucket(centre, call.account, call.key)
        if centre == self._data_centre:
            owner = self._ownership_table.find_owner(bucket, self._clock.now())
            if owner is not None:
                return owner
        hosts = self._list_hosts(centre)
        if not hosts:
            raise refusals.refuse_overloaded(
                f"data centre {centre}, the home of this key, is unreachable"
            )
        return hashing.rank_members(bucket, hosts)[0]

    def _handle_failed_forward(
        self,
        call: calls.Call,
        target: str,
        error: forwarding.ForwardFailedError,
        attempts: int,
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
                f"no answer from host {target}; query the outcome of the key"
            ) from error
        if (
            attempts >= MAX_FORWARD_ATTEMPTS
            or self._clock.now() >= call.deadline_s
        ):
            raise refusals.refuse_overloaded(
                f"host {target}, the owner of this key, cannot be reached"
            ) from error

    async def _wait_for_table(self, call: calls.Call) -> outcomes.OutcomeTable:
        """Return the outcome table of a key once this host may use it.

        Raises:
            Refusal: Another host owns the bucket, or this host may not use it
                within `TRANSFER_WAIT_S` or the deadline.
        """
        bucket = name_bucket(self._data_centre, call.account, call.key)
        until_s = min(call.deadline_s, self._clock.now() + TRANSFER_WAIT_S)
        while not self._ownership_table.is_active_owner(
            bucket, self._clock.now()
        ):
            owner = self._ownership_table.find_owner(bucket, self._clock.now())
            if owner != self._host:
                raise refusals.Refusal(
                    503,
                    "key_home_elsewhere",
                    "another host owns this key now; send the request again",
                    retry_after_ms=100,
                )
            if self._clock.now() >= until_s:
                raise refusals.Refusal(
                    503,
                    "key_home_moving",
                    "this host cannot use the key yet; send the request again",
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
        """Run a request and record its outcome.

        It runs to its end even if the caller disconnects.
        """
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
                "the answer of the backend server was lost"
            ) from error


def build_reply(answer: outcomes.RecordedAnswer) -> calls.Reply:
    """Build a reply from a recorded answer.

    Raises:
        Refusal: The body was too large to be recorded.
    """
    if answer.body is None:
        raise refusals.Refusal(
            409,
            "answer_not_kept",
            f"the request ran and was answered with status {answer.status}; "
            "its body was too large to be recorded",
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


def _refuse_decision(decision: outcomes.StartDecision) -> refusals.Refusal:
    if decision is outcomes.StartDecision.MISMATCH:
        return refusals.Refusal(
            422,
            "idempotency_key_reused",
            "the idempotency key was already used for a different request",
        )
    if decision is outcomes.StartDecision.TOO_NEW:
        return refusals.refuse_malformed(
            "idempotency_key_time",
            "the idempotency key has a time in the future; check the clock",
        )
    if decision is outcomes.StartDecision.TOO_OLD:
        return refusals.Refusal(
            409,
            "outcome_unknown",
            "the idempotency key is too old; its outcome is unknown",
            not_run=False,
        )
    if decision is outcomes.StartDecision.FULL:
        return refusals.refuse_overloaded(
            "too many idempotency keys are in use"
        )
    return refusals.Refusal(
        409,
        "outcome_unknown",
        "it is unknown whether a request with this key was run",
        not_run=False,
    )
