"""Runs the usage reports: holds the duty, collects counts, sends reports."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from cowslipshift import exceptions as base_exceptions
from cowslipshift.coordination import hashing
from cowslipshift.duties import actions
from cowslipshift.duties import collection
from cowslipshift.duties import counts
from cowslipshift.duties import model
from cowslipshift.duties import policy as policies
from cowslipshift.duties import reporting
from cowslipshift.duties import tenure
from cowslipshift.edge import exceptions
from cowslipshift.platform import duties
from cowslipshift.platform import names
from cowslipshift.store import exceptions as store_exceptions
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    import aiohttp

    from cowslipshift import clock as clocks
    from cowslipshift.edge import metrics as metric
    from cowslipshift.edge import peerclient
    from cowslipshift.edge import watcher as watchers
    from cowslipshift.platform import settings as platform_settings
    from cowslipshift.platform import store as stores
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model as steering
    from cowslipshift.store import interface

IDLE_INTERVAL_S = 0.2
HOLDER_INTERVAL_S = 0.1
COLLECTION_INTERVAL_S = 1.0
MAX_CONCURRENT_FETCHES = 8
CALL_TIMEOUT_S = 2.0
CANDIDATES = "usage"
MS_PER_S = 1000.0


class Dependencies(msgspec.Struct, frozen=True):
    """Objects of the host that the usage reports need.

    Attributes:
        clock: Source of the present time.
        elapsed_clock: The same, suspensions of the machine included.
        membership: Tells which hosts are alive.
        watcher: Tells whether the store has been read.
        store: The platform's store.
        session: HTTP session for calls to the platform.
        peers: Fetches the counts of other hosts.
        counter: Counts of this host; ``None`` if nobody wants them.
        metrics: Metrics of the host.
    """

    clock: clocks.Clock
    elapsed_clock: clocks.Clock
    membership: memberships.Membership
    watcher: watchers.Watcher
    store: stores.PlatformStore
    session: aiohttp.ClientSession
    peers: peerclient.PeerClient
    counter: counts.UsageCounter | None
    metrics: metric.EdgeMetrics


def open_counter(
    settings: platform_settings.HostSettings, bounds: platform_settings.Bounds
) -> counts.UsageCounter | None:
    """Return a counter if the settings want usage reports."""
    found = settings.find_duties()
    if found is None or names.USAGE_DUTY not in found.duties:
        return None
    return counts.UsageCounter(bounds.report_window_s)


def assemble_reports(
    settings: platform_settings.HostSettings,
    bounds: platform_settings.Bounds,
    deps: Dependencies,
) -> UsageReports | None:
    """Assemble the usage reports if there is a counter for them."""
    found = settings.find_duties()
    if found is None or deps.counter is None:
        return None
    policy = policies.DutyPolicy(
        bounds.lease_ms / MS_PER_S,
        bounds.report_window_s,
        bounds.usage_late_s,
        bounds.require_fencing,
        found.duty_per_s,
    )
    client = duties.UsageClient(
        found.address, deps.session, settings.node_name
    )
    return UsageReports(deps, policy, deps.counter, client)


class UsageReports:
    """One host's part in the usage reports.

    Args:
        deps: Objects of the host.
        policy: Bounds of the duty.
        counter: Counts of this host.
        client: Sends reports.
    """

    def __init__(
        self,
        deps: Dependencies,
        policy: policies.DutyPolicy,
        counter: counts.UsageCounter,
        client: duties.UsageClient,
    ) -> None:
        self._steady_clock = deps.clock
        self._clock = deps.elapsed_clock
        self._membership = deps.membership
        self._watcher = deps.watcher
        self._store = duties.DutyStore(deps.store)
        self._client = client
        self._peers = deps.peers
        self._counter = counter
        self._metrics = deps.metrics
        self._own = self._membership.own
        self._tenure = tenure.Tenure(
            self._own.name, self._own.incarnation, policy, self._clock.now()
        )
        self._reporter = reporting.Reporter(policy)
        self._logged_token = 0
        self._is_leaving = False
        self._log = logs.EventLog("duties")

    def record_item(self, item: interface.Item) -> None:
        """Record a change of the duty's entries that the replica learnt."""
        try:
            state = duties.decode_item(item)
        except base_exceptions.CowslipshiftError as error:
            self._log.warn(
                "entry_ignored",
                key=item.key,
                revision=item.revision,
                code=error.code,
                reason=error.message,
            )
            return
        self._tenure.record_state(state, self._clock.now())
        self._log_turn()

    def list_counts(self, first: int) -> collection.HostCounts:
        """Return this host's counts of the windows from one on."""
        return collection.HostCounts(
            self._own.incarnation, self._counter.list_counts(first)
        )

    async def run_tenure(self) -> None:
        """Take the duty when it is vacant, hold it and fix reports."""
        while not self._is_leaving:
            now = self._clock.now()
            if self._watcher.replica.revision:
                # The store may have no entries of the duty.
                self._tenure.record_state(model.DutyState(), now)
            action = self._propose(now)
            if action is not None:
                await self._perform(action)
                self._log_turn()
            await asyncio.sleep(
                HOLDER_INTERVAL_S if self._tenure.token else IDLE_INTERVAL_S
            )

    async def run_collection(self) -> None:
        """Fetch the counts of all live hosts while this one is the holder."""
        while not self._is_leaving:
            started_s = self._clock.now()
            record = self._tenure.state.record
            if record is not None and self._tenure.is_holder(started_s):
                await self._collect(record.next_window, started_s)
            took_s = self._clock.now() - started_s
            await asyncio.sleep(
                max(HOLDER_INTERVAL_S, COLLECTION_INTERVAL_S - took_s)
            )

    async def run_reports(self) -> None:
        """Send fixed reports while this host is the holder."""
        while not self._is_leaving:
            now = self._clock.now()
            record = self._tenure.state.record
            report = None
            if record is not None and self._tenure.may_call(now):
                report = self._reporter.propose_report(record, now)
            if report is not None:
                await self._send(report, now)
            await asyncio.sleep(
                HOLDER_INTERVAL_S if self._tenure.token else IDLE_INTERVAL_S
            )

    def begin_era(self) -> None:
        """Stop acting as the holder, as the store has lost a part of it."""
        self._tenure.begin_era(self._clock.now())
        self._log_turn()

    async def stop(self) -> None:
        """Give the duty up, so that another host takes it at once."""
        self._is_leaving = True
        if not self._tenure.token:
            return
        now = self._clock.now()
        self._tenure.give_up(now)
        self._log_turn()
        action = self._propose(now)
        if action is not None:
            await self._perform(action)

    def _propose(self, now: float) -> actions.Action | None:
        wall_s = self._clock.wall()
        state = self._tenure.state
        fixed = None
        if state.record is not None and self._tenure.is_holder(now):
            live = self._membership.list_live(self._steady_clock.now())
            fixed = self._reporter.propose_record(
                state.record, [member.name for member in live], wall_s
            )
        rank = self._find_rank() if state.holder is None else 0
        window = self._reporter.get_window(wall_s)
        return self._tenure.propose(now, window, rank, fixed)

    def _find_rank(self) -> int:
        """Return how many hosts are better placed to take the duty."""
        usable = self._membership.list_usable(self._steady_clock.now())
        ranked = hashing.rank_members(
            CANDIDATES, [member.name for member in usable]
        )
        bandwidth = {member.name: member.link_mbps for member in usable}
        ranked.sort(key=lambda name: -bandwidth[name])
        name = self._own.name
        return ranked.index(name) if name in ranked else len(ranked)

    async def _perform(self, action: actions.Action) -> None:
        try:
            await self._call_store(action)
        except store_exceptions.StoreError as error:
            self._tenure.record_unanswered(action, self._clock.now())
            self._log.notice(
                "duty_store_call_failed",
                call=type(action).__name__,
                reason=error,
            )
        except base_exceptions.CowslipshiftError as error:
            self._tenure.record_unanswered(action, self._clock.now())
            self._log.warn(
                "duty_entry_malformed", code=error.code, reason=error.message
            )

    async def _call_store(self, action: actions.Action) -> None:
        started_s = self._clock.now()
        held, store = self._tenure, self._store
        match action:
            case actions.GrantLease(ttl_s):
                held.record_lease(await store.grant_lease(ttl_s), started_s)
            case actions.RenewLease(lease):
                held.record_renewal(await store.renew_lease(lease), started_s)
            case actions.EndLease(lease):
                await store.revoke_lease(lease)
            case actions.ReadState():
                state = await store.read_state()
                held.record_read(state, self._clock.now())
            case actions.WriteRecord():
                revision = await store.write_record(action)
                held.record_write(action, revision, self._clock.now())
                self._log_write(action, revision)

    async def _collect(self, first: int, now: float) -> None:
        """Ask all live hosts for their counts."""
        wall_s = self._clock.wall()
        self._reporter.collected.record_counts(
            self._own.name, self.list_counts(first), wall_s
        )
        free = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        live = self._membership.list_live(self._steady_clock.now())
        await asyncio.gather(
            *(
                self._fetch(member, first, free)
                for member in live
                if member.name != self._own.name
            )
        )

    async def _fetch(
        self, member: steering.Member, first: int, free: asyncio.Semaphore
    ) -> None:
        async with free:
            asked_wall_s = self._clock.wall()
            try:
                counted = await self._peers.fetch_counts(
                    member.internal_address, first
                )
            except exceptions.PeerError as error:
                self._log.info(
                    "counts_missing", peer=member.name, reason=error.message
                )
                return
        self._reporter.collected.record_counts(
            member.name, counted, asked_wall_s
        )

    async def _send(self, report: model.UsageReport, now: float) -> None:
        token = self._tenure.token
        timeout_s = min(CALL_TIMEOUT_S, self._tenure.measure_left(now))
        outcome, status = await self._client.send(report, token, timeout_s)
        now = self._clock.now()
        self._metrics.count_usage_call(outcome.value)
        fields = {
            "window": report.window,
            "token": token,
            "status": status,
            "requests": sum(report.counts.values()),
            "accounts": len(report.counts),
        }
        if outcome is duties.Outcome.ACCEPTED:
            self._log.info("usage_reported", **fields)
            self._reporter.record_accepted(report.window, now)
            return
        self._log.warn(f"usage_{outcome.value}", **fields)
        is_answered = outcome is not duties.Outcome.UNANSWERED
        self._reporter.record_deferred(is_answered, now)
        is_over = (
            outcome is duties.Outcome.FENCED or self._reporter.is_cut_off(now)
        )
        if is_over and self._tenure.token == token:
            self._tenure.give_up(now)
            self._log_turn()

    def _log_write(
        self, write: actions.WriteRecord, revision: int | None
    ) -> None:
        record = write.record
        self._log.info(
            "duty_write" if revision else "duty_write_lost",
            revision=revision,
            token=record.holder.token,
            taken=write.is_take,
            next_window=record.next_window,
        )

    def _log_turn(self) -> None:
        """Log that this host has taken the duty, or lost it."""
        token = self._tenure.token
        if token == self._logged_token:
            return
        self._logged_token = token
        event = "taken" if token else "lost"
        self._metrics.count_duty_turn(event)
        self._reporter.reset()
        holder = self._tenure.state.holder
        self._log.info(
            f"duty_{event}",
            token=token,
            holder=None if holder is None else holder.host,
        )
