"""Fleet-wide enforcement of the quotas of client accounts.

A quota is a rate and a burst. Each host has a share of it.
"""

from __future__ import annotations

import asyncio
import collections
from typing import Protocol
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import borrowing
from cowslipshift.coordination import hashing
from cowslipshift.coordination import loans
from cowslipshift.coordination import shares
from cowslipshift.peers import messages
from cowslipshift.serving import refusals

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.coordination import ownership
    from cowslipshift.topology import index as indexes

HOLD_S = 9.0
"""Longest time for which a former holder's share may still be in use.

It covers a loan term and the time until a configuration change is in force on
all hosts.
"""

MAX_WAIT_S = 0.5
MIN_QUEUE_LIMIT = 8
EXHAUSTED_PAUSE_S = 0.2
"""Time for which no more is requested after all holders fell short."""

EXHAUSTED_QUEUE_S = 0.3
"""Bounds the queue during that time, in seconds of the account's rate."""

POLL_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 0.4


class _PendingRequest(msgspec.Struct, frozen=True):
    """Loan request to a holder that is not answered yet."""

    sent_s: float
    tokens: float


class Messenger(Protocol):
    """Sends messages to other hosts."""

    def send(self, host: str, message: messages.Message) -> bool:
        """Send a message and return whether a link is open."""

    def is_linked(self, host: str) -> bool:
        """Return whether a link to a host is open."""


class QuotaManager:
    """Admits requests within quotas and lends quota to where demand is.

    In each data centre one host, the holder, owns the data centre's base share
    of an account's quota. Other hosts, in this data centre and elsewhere,
    borrow from it.

    Args:
        host: Name of this host.
        data_centre: Data centre of this host.
        clock: Source of the present time.
        ownership_table: Ownership of accounts in this data centre.
        messenger: Sends messages to other hosts.
        sequence: Sequence number that loan requests of earlier processes of
            this host have not reached.
        starts_full: Whether no host has used any account before, so that base
            shares start with their whole burst.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        clock: clocks.Clock,
        ownership_table: ownership.OwnershipTable,
        messenger: Messenger,
        sequence: int,
        starts_full: bool,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._clock = clock
        self._ownership_table = ownership_table
        self._messenger = messenger
        self._sequence = sequence
        self._starts_full = starts_full
        self._config_index: indexes.ConfigurationIndex | None = None
        self._shares: dict[str, shares.QuotaShare] = {}
        self._queues: dict[str, collections.deque[asyncio.Future[None]]] = {}
        self._pending: dict[tuple[str, str], _PendingRequest] = {}
        self._holders_with_spare: dict[str, set[str]] = {}
        self._skip_counts: dict[tuple[str, str], int] = {}
        self._exhausted_until: dict[str, float] = {}
        self._wake = asyncio.Event()

    def apply(self, config_index: indexes.ConfigurationIndex) -> None:
        """Apply a new configuration."""
        self._config_index = config_index
        now = self._clock.now()
        self._ownership_table.set_resources(
            {
                f"account:{name}": HOLD_S
                for name in config_index.accounts.by_name
            },
            now,
        )
        for name in list(self._shares):
            if name not in config_index.accounts.by_name:
                del self._shares[name]
        self.update_base_shares()

    def describe_handover(self, resource: str) -> tuple[int, float]:
        """Return what a new owner of an account has to wait for.

        Returns:
            The amount in use here, always 0, and the seconds until the last
            loan of this host ends.
        """
        share = self._shares.get(resource.partition(":")[2])
        if share is None:
            return 0, 0.0
        return 0, share.measure_lent_wait(self._clock.now())

    def update_base_shares(self) -> None:
        """Take over and give up base shares as ownership changes."""
        if self._config_index is None:
            return
        now = self._clock.now()
        centre_count = max(1, len(self._list_centres()))
        for name, account in self._config_index.accounts.by_name.items():
            share = self._get_share(name)
            if self._ownership_table.is_active_owner(f"account:{name}", now):
                base = loans.Quota(
                    account.rate / centre_count, account.burst / centre_count
                )
                full = self._starts_full and not share.is_holder
                share.set_base(base, now, full)
            elif share.is_holder:
                share.set_base(None, now)
        if self._ownership_table.may_act(now):
            self._starts_full = False

    def drop_tokens(self) -> None:
        """Drop all tokens and borrowed quota, as after a process pause."""
        now = self._clock.now()
        self._starts_full = False
        for share in self._shares.values():
            share.drop_tokens(now)

    async def acquire(self, account: str, deadline_s: float) -> None:
        """Take one token of an account, waiting up to `MAX_WAIT_S` for it.

        Raises:
            Refusal: No token became available in time.
        """
        now = self._clock.now()
        share = self._get_share(account)
        share.demand.record_arrival(now)
        queue = self._queues.setdefault(account, collections.deque())
        if not queue and share.try_take(now):
            return
        limit = self._get_queue_limit(account, now)
        if len(queue) >= limit or now >= deadline_s:
            raise self._refuse(account, share)
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(turn)
        self._wake.set()
        try:
            async with asyncio.timeout(min(MAX_WAIT_S, deadline_s - now)):
                await turn
        except TimeoutError as error:
            raise self._refuse(account, share) from error
        finally:
            if not turn.done():
                turn.cancel()

    def handle_loan_requests(
        self, requester: str, requests: list[loans.LoanRequest]
    ) -> None:
        """Answer loan requests of another host.

        Quota that is lent to other hosts but not needed there is recalled.
        """
        now = self._clock.now()
        grants = []
        recalls: dict[str, list[str]] = {}
        for request in requests:
            if self._config_index is None or (
                request.account not in self._config_index.accounts.by_name
            ):
                continue
            share = self._get_share(request.account)
            grant = share.lend(requester, request, now)
            if grant is None:
                continue
            grants.append(grant)
            for borrower in share.list_recalls(requester, request, now):
                recalls.setdefault(borrower, []).append(request.account)
        if grants:
            self._messenger.send(requester, messages.LoanGrants(grants))
        for borrower, accounts in recalls.items():
            self._messenger.send(borrower, messages.LoanRecalls(accounts))

    def handle_recalls(self, holder: str, accounts: list[str]) -> None:
        """Return the unused part of loans that a holder recalls."""
        now = self._clock.now()
        requests = []
        for account in accounts:
            share = self._shares.get(account)
            if share is None or holder not in share.list_borrowed(now):
                continue
            needed = share.measure_needed_rate(holder, now)
            requests.append(share.build_request(holder, needed, 0.0, now))
            self._pending[account, holder] = _PendingRequest(now, 0.0)
        if requests:
            self._messenger.send(holder, messages.LoanRequests(requests))

    def handle_grants(
        self, holder: str, grants: list[loans.LoanGrant]
    ) -> None:
        """Accept loans that another host grants."""
        now = self._clock.now()
        for grant in grants:
            pending = self._pending.pop((grant.account, holder), None)
            share = self._shares.get(grant.account)
            if share is None:
                continue
            if grant.term_s <= 0.0:
                self._skip_holder(grant.account, holder)
            share.accept(holder, grant, now)
            self._serve_queue(grant.account)
            is_full_grant = (
                pending is not None and grant.tokens >= pending.tokens
            )
            self._record_answer(grant.account, holder, is_full_grant, now)

    async def run(self) -> None:
        """Serve queued requests and request loans until cancelled."""
        while True:
            self._wake.clear()
            for account in list(self._shares):
                self._serve_queue(account)
            self._request_loans()
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(0.002)

    def describe_shares(self) -> list[dict[str, object]]:
        """Describe this host's shares for the status page."""
        now = self._clock.now()
        return [
            {
                "account": name,
                "holder": share.is_holder,
                "rate": round(share.measure_rate(now), 3),
                "tokens": round(share.measure_tokens(now), 3),
                "demand": round(share.demand.measure(now), 3),
                "borrowed": share.list_borrowed(now),
            }
            for name, share in sorted(self._shares.items())
        ]

    def _record_answer(
        self, account: str, holder: str, is_full_grant: bool, now: float
    ) -> None:
        """Mark an account exhausted once all holders granted less than asked.

        No more is requested until the mark expires; see `EXHAUSTED_PAUSE_S`.
        """
        with_spare = self._holders_with_spare.setdefault(account, set())
        if is_full_grant:
            with_spare.add(holder)
        else:
            with_spare.discard(holder)
        has_pending = any(name == account for name, _ in self._pending)
        if self._queues.get(account) and not has_pending and not with_spare:
            self._exhausted_until[account] = now + EXHAUSTED_PAUSE_S

    def _is_exhausted(self, account: str, now: float) -> bool:
        return now < self._exhausted_until.get(account, 0.0)

    def _serve_queue(self, account: str) -> None:
        queue = self._queues.get(account)
        share = self._get_share(account)
        now = self._clock.now()
        while queue:
            if queue[0].done():
                queue.popleft()
                continue
            if not share.try_take(now):
                return
            queue.popleft().set_result(None)

    def _request_loans(self) -> None:
        now = self._clock.now()
        batches: dict[str, list[loans.LoanRequest]] = {}
        for account, share in self._shares.items():
            plan = borrowing.plan_requests(
                share,
                self._list_holders(account),
                len(self._queues.get(account, ())),
                POLL_INTERVAL_S,
                now,
                self._is_exhausted(account, now),
            )
            for holder, rate, tokens in plan:
                last = self._pending.get((account, holder))
                if last is not None and now - last.sent_s < REQUEST_TIMEOUT_S:
                    continue
                self._pending[account, holder] = _PendingRequest(now, tokens)
                request = share.build_request(holder, rate, tokens, now)
                batches.setdefault(holder, []).append(request)
        for holder, requests in batches.items():
            self._messenger.send(holder, messages.LoanRequests(requests))

    def _list_centres(self) -> list[str]:
        if self._config_index is None:
            return []
        centres = self._config_index.fleet.data_centres.values()
        return sorted(centre.name for centre in centres if centre.hosts)

    def _list_holders(self, account: str) -> list[str]:
        """Return the linked hosts that probably hold base shares.

        There is at most one per data centre, and never this host.
        """
        assert self._config_index is not None
        holders = []
        for name in self._list_centres():
            hosts = self._config_index.fleet.data_centres[name].hosts
            linked = [
                host
                for host in hosts
                if host == self._host or self._messenger.is_linked(host)
            ]
            if name == self._data_centre:
                owner = self._ownership_table.find_owner(
                    f"account:{account}", self._clock.now()
                )
                linked = [owner] if owner in linked else linked
            if not linked:
                continue
            ranked = hashing.rank_members(f"account:{account}", linked)
            skip = self._skip_counts.get((account, name), 0)
            holder = ranked[skip % len(ranked)]
            if holder != self._host:
                holders.append(holder)
        return holders

    def _skip_holder(self, account: str, holder: str) -> None:
        """Ask another host of the same data centre next time."""
        assert self._config_index is not None
        entry = self._config_index.fleet.hosts.get(holder)
        if entry is not None:
            key = (account, entry.data_centre)
            self._skip_counts[key] = self._skip_counts.get(key, 0) + 1

    def _get_queue_limit(self, account: str, now: float) -> int:
        assert self._config_index is not None
        limits = self._config_index.accounts.by_name[account]
        if self._is_exhausted(account, now):
            return int(MIN_QUEUE_LIMIT + limits.rate * EXHAUSTED_QUEUE_S)
        return int(MIN_QUEUE_LIMIT + limits.burst + limits.rate * MAX_WAIT_S)

    def _get_share(self, account: str) -> shares.QuotaShare:
        share = self._shares.get(account)
        if share is None:
            share = self._shares[account] = shares.QuotaShare(
                account, self._clock.now(), self._sequence
            )
        return share

    def _refuse(
        self, account: str, share: shares.QuotaShare
    ) -> refusals.Refusal:
        if share.measure_rate(self._clock.now()) <= 0.0:
            return refusals.Refusal(
                503,
                "account_unreachable",
                f"no share of account {account} is available to this host",
                retry_after_ms=1000,
            )
        wait_s = min(share.measure_wait(self._clock.now()), shares.LOAN_TERM_S)
        return refusals.Refusal(
            429,
            "account_rate",
            f"account {account} has exhausted its quota",
            retry_after_ms=max(50, int(wait_s * 1000)),
        )
