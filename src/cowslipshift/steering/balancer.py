"""Chooses a backend server for each request, or refuses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.coordination import budgets
from cowslipshift.coordination import hashing
from cowslipshift.steering import backends
from cowslipshift.steering import calls
from cowslipshift.steering import changes
from cowslipshift.steering import inventory as inventories
from cowslipshift.steering import latencies
from cowslipshift.steering import placement
from cowslipshift.steering import rollouts
from cowslipshift.steering import routes
from cowslipshift.steering import splits

if TYPE_CHECKING:
    from cowslipshift.steering import accounts
    from cowslipshift.steering import limiters
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model

REGION_HOP_S = 0.024
"""Round trip between regions, as the platform states it."""

LOCAL_HOP_S = 0.002

COLD_OPENERS = 2
"""Hosts that may send to a cold server when nothing else is left. More
than one, so that it is used when one of them is gone."""

CANDIDATES = 2
"""Servers in an object's order that are weighed against each other. More
would spread each object over many servers, which forget others for it."""

MAX_KEPT_ORDERS = 20_000
"""Objects whose order is kept; ranking one anew takes some microseconds."""

COLD_SAFETY = 0.7
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0

RETRY_SAFETY = 0.6
"""Part of the retry budget that is spent: hosts see each other's requests
late."""

RESERVE_S = 10.0
"""Seconds of its part of the slack that a host may save up: half of the
slack comes in time, half may be saved."""


class Balancer:
    """The decisions of one host.

    Args:
        membership: Which hosts are alive.
        regions: Region by data centre.
        retry_ratio: Retries allowed for each request of a service.
        retry_slack: Retries allowed besides, all hosts together.
        retry_window_s: Window of the retry slack.
        account_limiters: Limits of the client accounts.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        regions: dict[str, str],
        retry_ratio: float,
        retry_slack: float,
        retry_window_s: float,
        account_limiters: accounts.AccountLimiters,
    ) -> None:
        self.membership = membership
        self.accounts = account_limiters
        self.rollouts: dict[str, rollouts.Rollout] = {}
        self.configuration: model.Configuration | None = None
        self.inventory = inventories.Inventory()
        self._own_region = membership.own.region
        self._regions = regions
        self._retry_ratio = retry_ratio * RETRY_SAFETY
        self._retry_slack = retry_slack * RETRY_SAFETY / retry_window_s / 2
        self._most_retries = 1.0
        self._budgets: dict[str, budgets.RetryBudget] = {}
        self._routes = routes.RouteTable(())
        self._splitters: dict[str, splits.Splitter] = {}
        self._works: dict[str, latencies.RouteLatency] = {}
        self._orders: dict[tuple[str, str], list[backends.BackendState]] = {}
        self._cold_sent_s: dict[str, float] = {}
        self._ranked_generation = 0

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return (
            self.configuration.version if self.configuration is not None else 0
        )

    # What others wrote

    def apply(self, change: changes.Change, now: float) -> bool:
        """Take a change; return whether it differs from what was known."""
        if isinstance(change, changes.ConfigurationChange):
            return self._apply_configuration(change.configuration, now)
        if isinstance(change, changes.BackendChange):
            if change.backend is None:
                return self.inventory.remove_entry(change.id, now)
            return self.inventory.apply_entry(change.backend, now)
        if isinstance(change, changes.OrderChange):
            self._get_rollout(change.service).set_order(change.order, now)
        elif isinstance(change, changes.StageChange):
            self._get_rollout(change.service).set_stage(
                change.stage, change.revision, now
            )
        elif isinstance(change, changes.EvacuationChange):
            return self.inventory.apply_evacuation(change, now)
        else:
            self.membership.set_member(change.name, change.member, now)
        return True

    def _apply_configuration(
        self, configuration: model.Configuration, now: float
    ) -> bool:
        if (
            self.configuration is not None
            and configuration.version <= self.configuration.version
        ):
            return False
        self.configuration = configuration
        self._routes = routes.RouteTable(configuration.routes)
        for route in configuration.routes:
            splitter = self._splitters.get(route.name)
            if (
                splitter is None
                or splitter.traffic_split != route.traffic_split
            ):
                self._splitters[route.name] = splits.Splitter(
                    route.traffic_split
                )
            if route.name not in self._works:
                self._works[route.name] = latencies.RouteLatency(route)
        self.accounts.apply(configuration.accounts.values(), now)
        return True

    def _get_rollout(self, service: str) -> rollouts.Rollout:
        rollout = self.rollouts.get(service)
        if rollout is None:
            rollout = self.rollouts[service] = rollouts.Rollout(service)
        return rollout

    # Requests

    def find_route(self, hostname: str, path: str) -> model.Route | None:
        """Return the route of a request."""
        return self._routes.find_route(hostname, path)

    def find_account(self, key: str) -> model.Account | None:
        """Return the account that a key belongs to."""
        if self.configuration is None:
            return None
        name = self.configuration.accounts_by_key.get(key)
        return None if name is None else self.configuration.accounts.get(name)

    def assess_peers(self, now: float) -> limiters.PeerLiveness:
        """Return which hosts were not heard lately."""
        announced = {member.name for member in self.membership.list_peers()}
        return self.accounts.assess_peers(
            now, announced, self.membership.get_timeout_factor()
        )

    def open_call(
        self,
        request_id: str,
        route: model.Route,
        account: model.Account | None,
        affinity_key: str,
        deadline_s: float,
        now: float,
    ) -> calls.Call:
        """Begin a request: choose its service and version."""
        service = self._splitters[route.name].choose_service()
        rollout = self.rollouts.get(service)
        self._get_budget(service).record_attempt(self._retry_ratio)
        return calls.Call(
            id=request_id,
            route=route,
            account=account,
            affinity_key=affinity_key if route.has_affinity else "",
            service=service,
            arrived_s=now,
            deadline_s=deadline_s,
            regions=_intersect(route, account),
            uses_new_version=rollout is not None
            and rollout.choose_new_version(),
            tried=set(),
        )

    def choose_backend(
        self, call: calls.Call, now: float
    ) -> calls.Choice | calls.Refusal:
        """Choose where the next attempt of a request goes."""
        usable = (
            state
            for state in self._rank(call)
            if self._is_usable(state, call, now)
        )
        cold: list[backends.BackendState] = []
        started: list[backends.BackendState] = []
        for state in usable:
            (cold if state.is_cold(now) else started).append(state)
            if len(started) == CANDIDATES:
                break
        if not started and self._may_stay_old(call):
            call.uses_new_version = False
            return self.choose_backend(call, now)
        best: calls.Choice | None = None
        for position, state in enumerate(started):
            choice = self._predict(call, state, position, now)
            if best is None or choice.expected_s < best.expected_s:
                best = choice
        if best is None:
            best = self._choose_cold(call, cold, now)
        if best is None:
            return calls.Refusal("no_backend", MIN_RETRY_AFTER_S * 5)
        left_s = call.deadline_s - now
        wait_s = best.expected_s - left_s
        # What is only presumed of the work itself refuses nobody.
        if best.queue_s > 0.0 and wait_s > 0.0:
            return calls.Refusal(
                "no_room",
                min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s)),
                best,
            )
        return best

    def try_retry(self, service: str) -> bool:
        """Take a retry from the service's budget if there is one."""
        return self._get_budget(service).try_spend()

    def refill_budgets(self, passed_s: float) -> None:
        """Add this host's part of the retry slack."""
        hosts = self.membership.count_hosts()
        self._most_retries = max(1.0, self._retry_slack * RESERVE_S / hosts)
        for budget in self._budgets.values():
            budget.set_max_reserve(self._most_retries)
            budget.record_attempt(self._retry_slack * passed_s / hosts)

    def update_latency(
        self, call: calls.Call, choice: calls.Choice, took_s: float
    ) -> None:
        """Learn from an answer that the server made."""
        if choice.load < choice.state.entry.slots:
            self._works[call.route.name].update(took_s, choice.is_known_warm)

    def record_outcome(
        self, call: calls.Call, version: str, is_bad: bool
    ) -> bool:
        """Count an answer for the roll-out of its service, if any."""
        rollout = self.rollouts.get(call.service)
        return rollout is not None and rollout.record_answer(version, is_bad)

    def _may_stay_old(self, call: calls.Call) -> bool:
        """Tell whether the old version may run what the new one cannot."""
        rollout = self.rollouts.get(call.service)
        if rollout is None or not call.uses_new_version:
            return False
        return rollout.get_new_version_share() < 1.0

    def _rank(self, call: calls.Call) -> list[backends.BackendState]:
        if self._ranked_generation != self.inventory.generation:
            self._ranked_generation = self.inventory.generation
            self._orders.clear()
        key = (call.service, call.affinity_key or call.id)
        known = self._orders.get(key)
        if known is None:
            by_region: dict[str, list[backends.BackendState]] = {}
            for state in self.inventory.list_servers(call.service):
                if state.entry.data_centre not in self.inventory.evacuated:
                    region = self._regions.get(state.entry.data_centre, "")
                    by_region.setdefault(region, []).append(state)
            known = placement.rank_backends(
                "|".join(key),
                self._own_region,
                by_region,
                len(set(self._regions.values())),
            )
            if call.affinity_key:
                if len(self._orders) >= MAX_KEPT_ORDERS:
                    self._orders.clear()
                self._orders[key] = known
        return known

    def _is_usable(
        self, state: backends.BackendState, call: calls.Call, now: float
    ) -> bool:
        entry = state.entry
        if state.is_draining or entry.id in call.tried:
            return False
        if entry.data_centre in self.inventory.evacuated:
            return False
        region = self._regions.get(entry.data_centre)
        if call.regions is not None and region not in call.regions:
            return False
        if state.is_ejected(now):
            return False
        rollout = self.rollouts.get(call.service)
        return rollout is None or rollout.may_use(
            entry.version, call.uses_new_version
        )

    def _predict(
        self,
        call: calls.Call,
        state: backends.BackendState,
        position: int,
        now: float,
    ) -> calls.Choice:
        work = self._works[call.route.name]
        is_known_warm = not call.affinity_key or state.is_warm_for(
            call.affinity_key, now
        )
        is_warm = is_known_warm or position == 0
        baseline_s = work.estimate(is_warm)
        region = self._regions.get(state.entry.data_centre)
        hop_s = LOCAL_HOP_S if region == self._own_region else REGION_HOP_S
        queue_s = state.estimate_wait(now, work.warm_s)
        work_s = baseline_s * state.estimate_slowness(now)
        expected_s = hop_s + queue_s + work_s
        return calls.Choice(
            state,
            expected_s,
            hop_s + queue_s + work.estimate(is_known_warm),
            is_known_warm,
            position,
            state.estimate_load(now),
            queue_s,
        )

    def _choose_cold(
        self,
        call: calls.Call,
        cold: list[backends.BackendState],
        now: float,
    ) -> calls.Choice | None:
        assert self.configuration is not None
        service = self.configuration.services.get(call.service)
        rate = service.cold_rate if service is not None else 1.0
        hosts = [member.name for member in self.membership.list_live(now)]
        interval_s = COLD_OPENERS / max(0.1, rate * COLD_SAFETY)
        for position, state in enumerate(cold):
            identity = state.entry.id
            if now - self._cold_sent_s.get(identity, -1e9) < interval_s:
                continue
            openers = hashing.rank_members(f"cold|{identity}", hosts)
            if self.membership.own.name not in openers[:COLD_OPENERS]:
                continue
            self._cold_sent_s[identity] = now
            return self._predict(call, state, position, now)
        return None

    def _get_budget(self, service: str) -> budgets.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.RetryBudget(
                self._most_retries
            )
        return budget


def _intersect(
    route: model.Route, account: model.Account | None
) -> frozenset[str] | None:
    limits = [frozenset(route.regions)] if route.regions else []
    if account is not None and account.regions:
        limits.append(frozenset(account.regions))
    if not limits:
        return None
    return frozenset.intersection(*limits)
