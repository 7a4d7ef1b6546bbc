"""Holding client accounts to their rate and burst, fleet-wide."""

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
    from cowslipshift.world import atlas as atlases

HOLD_S = 9.0
"""Longest time that a former holder's part may still be in use: a loan
term, and the time in which a configuration change is in force everywhere.
"""

MAX_WAIT_S = 0.5
MIN_WAITING = 8
EXHAUSTED_S = 0.2
"""How long holders that gave all they could are left alone."""

EXHAUSTED_WAIT_S = 0.3
"""Seconds of the account's rate that may wait meanwhile."""

POLL_INTERVAL_S = 0.05
ASK_TIMEOUT_S = 0.4


class _Asked(msgspec.Struct, frozen=True):
    """A request to a holder that is not answered yet."""

    at_s: float
    tokens: float


class Messenger(Protocol):
    """Sends messages to other hosts."""

    def send(self, host: str, message: messages.Message) -> bool:
        """Send a message; return whether a link is open."""

    def is_linked(self, host: str) -> bool:
        """Tell whether a link to a host is open."""


class QuotaManager:
    """Admits requests and moves parts of accounts to where demand is.

    In each data centre one host holds the data centre's part of an
    account; other hosts, there and elsewhere, borrow from it.

    Args:
        host: Name of this host.
        data_centre: Its data centre.
        clock: Source of the present time.
        table: Tells which accounts this host holds.
        messenger: Sends messages to other hosts.
        sequence: Number that earlier processes have not reached.
        starts_full: Whether no host used any account before.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        clock: clocks.Clock,
        table: ownership.OwnershipTable,
        messenger: Messenger,
        sequence: int,
        starts_full: bool,
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._clock = clock
        self._table = table
        self._messenger = messenger
        self._sequence = sequence
        self._starts_full = starts_full
        self._atlas: atlases.Atlas | None = None
        self._shares: dict[str, shares.QuotaShare] = {}
        self._waiting: dict[str, collections.deque[asyncio.Future[None]]] = {}
        self._asked: dict[tuple[str, str], _Asked] = {}
        self._generous: dict[str, set[str]] = {}
        self._skipped: dict[tuple[str, str], int] = {}
        self._exhausted: dict[str, float] = {}
        self._wake = asyncio.Event()

    def apply(self, atlas: atlases.Atlas) -> None:
        """Follow a new configuration."""
        self._atlas = atlas
        now = self._clock.now()
        self._table.set_resources(
            {f"account:{name}": HOLD_S for name in atlas.contracts.accounts},
            now,
        )
        for name in list(self._shares):
            if name not in atlas.contracts.accounts:
                del self._shares[name]
        self.update_base_shares()

    def describe_handover(self, resource: str) -> tuple[int, float]:
        """Tell how long a new holder must wait for loans to end."""
        share = self._shares.get(resource.partition(":")[2])
        if share is None:
            return 0, 0.0
        return 0, share.measure_lent_wait(self._clock.now())

    def update_base_shares(self) -> None:
        """Take and give up base parts as ownership moves."""
        if self._atlas is None:
            return
        now = self._clock.now()
        parts = max(1, len(self._list_centres()))
        for name, account in self._atlas.contracts.accounts.items():
            share = self._get_share(name)
            if self._table.is_active_owner(f"account:{name}", now):
                base = loans.Quota(account.rate / parts, account.burst / parts)
                full = self._starts_full and not share.is_holder
                share.set_base(base, now, full)
            elif share.is_holder:
                share.set_base(None, now)
        if self._table.may_act(now):
            self._starts_full = False

    def drop_tokens(self) -> None:
        """Drop all tokens and loans, as after a pause of the process."""
        now = self._clock.now()
        self._starts_full = False
        for share in self._shares.values():
            share.drop_tokens(now)

    async def acquire(self, account: str, deadline_s: float) -> None:
        """Take the allowance of one request, waiting for it a little.

        Raises:
            Refusal: The account has none within reach.
        """
        now = self._clock.now()
        share = self._get_share(account)
        share.demand.record_arrival(now)
        waiting = self._waiting.setdefault(account, collections.deque())
        if not waiting and share.try_take(now):
            return
        limit = self._limit_waiting(account, now)
        if len(waiting) >= limit or now >= deadline_s:
            raise self._refuse(account, share)
        ready: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        waiting.append(ready)
        self._wake.set()
        try:
            async with asyncio.timeout(min(MAX_WAIT_S, deadline_s - now)):
                await ready
        except TimeoutError as error:
            raise self._refuse(account, share) from error
        finally:
            if not ready.done():
                ready.cancel()

    def handle_loan_requests(
        self, who: str, wants: list[loans.LoanRequest]
    ) -> None:
        """Answer another host's requests for parts of accounts.

        What is lent to others and not needed there is asked back.
        """
        now = self._clock.now()
        grants = []
        recalls: dict[str, list[str]] = {}
        for want in wants:
            if self._atlas is None or (
                want.account not in self._atlas.contracts.accounts
            ):
                continue
            share = self._get_share(want.account)
            grant = share.lend(who, want, now)
            if grant is None:
                continue
            grants.append(grant)
            for borrower in share.list_recalls(who, want, now):
                recalls.setdefault(borrower, []).append(want.account)
        if grants:
            self._messenger.send(who, messages.Grants(grants))
        for borrower, accounts in recalls.items():
            self._messenger.send(borrower, messages.Recalls(accounts))

    def handle_recalls(self, holder: str, accounts: list[str]) -> None:
        """Give back what is not needed of loans that a holder recalls."""
        now = self._clock.now()
        wants = []
        for account in accounts:
            share = self._shares.get(account)
            if share is None or holder not in share.list_borrowed(now):
                continue
            needed = share.measure_needed_rate(holder, now)
            wants.append(share.build_request(holder, needed, 0.0, now))
            self._asked[account, holder] = _Asked(now, 0.0)
        if wants:
            self._messenger.send(holder, messages.Wants(wants))

    def handle_grants(
        self, holder: str, grants: list[loans.LoanGrant]
    ) -> None:
        """Take the answers of another host."""
        now = self._clock.now()
        for grant in grants:
            asked = self._asked.pop((grant.account, holder), None)
            share = self._shares.get(grant.account)
            if share is None:
                continue
            if grant.term_s <= 0.0:
                self._skip_holder(grant.account, holder)
            share.accept(holder, grant, now)
            self._serve(grant.account)
            gave_all = asked is not None and grant.tokens >= asked.tokens
            self._note_answer(grant.account, holder, gave_all, now)

    async def run(self) -> None:
        """Keep asking for what demand lacks, until cancelled."""
        while True:
            self._wake.clear()
            for account in list(self._shares):
                self._serve(account)
            self._ask_holders()
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(0.002)

    def describe_shares(self) -> list[dict[str, object]]:
        """Describe this host's parts for the status page."""
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

    def _note_answer(
        self, account: str, holder: str, gave_all: bool, now: float
    ) -> None:
        """Leave holders alone once all gave less than they were asked."""
        generous = self._generous.setdefault(account, set())
        if gave_all:
            generous.add(holder)
        else:
            generous.discard(holder)
        is_asked = any(name == account for name, _ in self._asked)
        if self._waiting.get(account) and not is_asked and not generous:
            self._exhausted[account] = now + EXHAUSTED_S

    def _is_exhausted(self, account: str, now: float) -> bool:
        return now < self._exhausted.get(account, 0.0)

    def _serve(self, account: str) -> None:
        waiting = self._waiting.get(account)
        share = self._get_share(account)
        now = self._clock.now()
        while waiting:
            if waiting[0].done():
                waiting.popleft()
                continue
            if not share.try_take(now):
                return
            waiting.popleft().set_result(None)

    def _ask_holders(self) -> None:
        now = self._clock.now()
        batches: dict[str, list[loans.LoanRequest]] = {}
        for account, share in self._shares.items():
            plan = borrowing.plan_requests(
                share,
                self._list_holders(account),
                len(self._waiting.get(account, ())),
                POLL_INTERVAL_S,
                now,
                self._is_exhausted(account, now),
            )
            for holder, rate, tokens in plan:
                last = self._asked.get((account, holder))
                if last is not None and now - last.at_s < ASK_TIMEOUT_S:
                    continue
                self._asked[account, holder] = _Asked(now, tokens)
                want = share.build_request(holder, rate, tokens, now)
                batches.setdefault(holder, []).append(want)
        for holder, wants in batches.items():
            self._messenger.send(holder, messages.Wants(wants))

    def _list_centres(self) -> list[str]:
        if self._atlas is None:
            return []
        centres = self._atlas.fleet.data_centres.values()
        return sorted(centre.name for centre in centres if centre.hosts)

    def _list_holders(self, account: str) -> list[str]:
        """Return the linked hosts that probably hold parts."""
        assert self._atlas is not None
        holders = []
        for name in self._list_centres():
            hosts = self._atlas.fleet.data_centres[name].hosts
            linked = [
                host
                for host in hosts
                if host == self._host or self._messenger.is_linked(host)
            ]
            if name == self._data_centre:
                owner = self._table.find_owner(
                    f"account:{account}", self._clock.now()
                )
                linked = [owner] if owner in linked else linked
            if not linked:
                continue
            ranked = hashing.rank_members(f"account:{account}", linked)
            skip = self._skipped.get((account, name), 0)
            holder = ranked[skip % len(ranked)]
            if holder != self._host:
                holders.append(holder)
        return holders

    def _skip_holder(self, account: str, holder: str) -> None:
        """Ask another host of that data centre next time."""
        assert self._atlas is not None
        entry = self._atlas.fleet.hosts.get(holder)
        if entry is not None:
            key = (account, entry.data_centre)
            self._skipped[key] = self._skipped.get(key, 0) + 1

    def _limit_waiting(self, account: str, now: float) -> int:
        assert self._atlas is not None
        entry = self._atlas.contracts.accounts[account]
        if self._is_exhausted(account, now):
            return int(MIN_WAITING + entry.rate * EXHAUSTED_WAIT_S)
        return int(MIN_WAITING + entry.burst + entry.rate * MAX_WAIT_S)

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
                f"no part of account {account} is within reach of this host",
                retry_after_ms=1000,
            )
        wait_s = min(share.measure_wait(self._clock.now()), shares.LOAN_TERM_S)
        return refusals.Refusal(
            429,
            "account_rate",
            f"account {account} has used its rate and burst",
            retry_after_ms=max(50, int(wait_s * 1000)),
        )
