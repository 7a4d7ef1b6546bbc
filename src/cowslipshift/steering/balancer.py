"""Chooses a backend server for each request, or refuses the request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from cowslipshift.admission import deadlines
from cowslipshift.admission import urgency
from cowslipshift.coordination import hashing
from cowslipshift.steering import backends
from cowslipshift.steering import calls
from cowslipshift.steering import changes
from cowslipshift.steering import coldservers
from cowslipshift.steering import eligibility
from cowslipshift.steering import inventory as inventories
from cowslipshift.steering import lostanswers
from cowslipshift.steering import placement
from cowslipshift.steering import prediction
from cowslipshift.steering import preference
from cowslipshift.steering import retrybudgets
from cowslipshift.steering import rollouts
from cowslipshift.steering import roundtrips
from cowslipshift.steering import routes
from cowslipshift.steering import serverlimits
from cowslipshift.steering import serversignals
from cowslipshift.steering import splits
from cowslipshift.workload import completion
from cowslipshift.workload import costs
from cowslipshift.workload import exchange
from cowslipshift.workload import gates
from cowslipshift.workload import selection
from cowslipshift.workload import spreading

if TYPE_CHECKING:
    from cowslipshift.steering import accounts
    from cowslipshift.steering import limiters
    from cowslipshift.steering import membership as memberships
    from cowslipshift.steering import model
    from cowslipshift.steering import steps

CANDIDATES = 2
"""Servers in an object's order of preference that are compared. More would
spread each object over many servers, which evict other objects for it."""

MAX_CACHED_RANKINGS = 20_000
"""Objects whose ranking is cached; computing one takes some microseconds."""

NO_BACKEND_RETRY_AFTER_S = 0.5

WAIT_SPREAD_FRACTION = 0.5
"""Fraction of a server's wait over which callers are told to return."""


class Balancer:
    """Routing decisions of one host, and the state behind them.

    Args:
        membership: Which hosts are alive.
        regions: Region by data centre.
        retry_ratio: Retries allowed for each request of a service.
        retry_slack: Additional retries allowed, all hosts together.
        retry_window_s: Window of the retry slack.
        account_limiters: Rate limiters of the client accounts.
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
        self._era = 0
        self._settles_at_s = -math.inf
        self.inventory = inventories.Inventory()
        self.server_signals = serversignals.ServerSignals()
        self.server_limits = serverlimits.ServerLimits(membership.own)
        self.load_exchange = exchange.LoadExchange(membership, self.inventory)
        self.spreader = spreading.RegionSpreader(
            membership, self.inventory, regions
        )
        self.round_trips = roundtrips.RoundTrips(
            membership.own.region, regions
        )
        self._own_region = membership.own.region
        self._regions = regions
        self._retries = retrybudgets.RetryBudgets(
            retry_ratio, retry_slack, retry_window_s
        )
        self._routes = routes.RouteTable(())
        self._splitters: dict[tuple[str, str], splits.Splitter] = {}
        self._rankings: dict[
            tuple[str, str, bool], list[backends.BackendState]
        ] = {}
        self._ranked_generation = (0, 0)
        self._cold_servers = coldservers.ColdServers(membership)
        self._eligibility: steps.EligibilityRule = eligibility.Eligibility(
            self.inventory, self.server_signals, self.rollouts, regions
        )
        self._latencies = prediction.LatencyEstimator(self.round_trips)
        self._by_work = completion.WorkEstimator(
            self.round_trips, costs.CostModel()
        )
        self.use_gate(gates.WorkGate(membership))
        self._deadlines = deadlines.DeadlineAdmission()
        self._urgency = urgency.UrgencyAdmission(
            self._deadlines, membership, self.inventory
        )
        self._admission: steps.AdmissionPolicy = self._urgency

    def use_gate(self, gate: gates.WorkGate) -> None:
        """Build the steps that depend on whether servers are chosen by work.

        Args:
            gate: Tells whether they are.
        """
        self._gate = gate
        self._estimator: steps.CompletionEstimator = gates.GatedEstimator(
            gate, self._by_work, self._latencies
        )
        self.selector: steps.ServerSelector = gates.GatedSelector(
            gate, selection.WorkSelector(), preference.CostPreference()
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return (
            self.configuration.version if self.configuration is not None else 0
        )

    # Changes from the store

    def is_outdated(self, change: changes.Change, now: float) -> bool:
        """Tell whether a newer change of the same thing was applied."""
        if isinstance(change, changes.BackendChange):
            return change.backend is not None and self.inventory.is_outdated(
                change.backend, now
            )
        if isinstance(change, changes.ConfigurationChange):
            offered = change.configuration
            return (0 if offered is None else offered.version) < self.version
        if isinstance(change, changes.StageChange):
            if change.stage is None:
                # Whoever writes it again has to know that there is none.
                return False
            rollout = self._get_rollout(change.service)
            return rollout.is_behind(change.stage, change.era)
        return False

    def begin_era(self, era: int, now: float) -> None:
        """Follow a store that may have lost a part of what it held.

        No stage of a roll-out is decided before those who know a further one
        have had the time to write it.

        Args:
            era: Era of the store.
            now: Present time.
        """
        self._era = era
        self._settles_at_s = now + inventories.STORE_RECOVERY_S
        for rollout in self.rollouts.values():
            rollout.begin_era(era, self._settles_at_s)

    def apply(self, change: changes.Change, now: float) -> bool:
        """Apply a change; return whether it differs from the known state."""
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
                change.stage, change.revision, now, change.era
            )
        elif isinstance(change, changes.EvacuationChange):
            return self.inventory.apply_evacuation(change, now)
        elif self.membership.set_member(change.name, change.member, now):
            self.accounts.record_newcomer(now)
        return True

    def _apply_configuration(
        self, configuration: model.Configuration | None, now: float
    ) -> bool:
        if configuration is None or (
            self.configuration is not None
            and configuration.version <= self.configuration.version
        ):
            return False
        self.configuration = configuration
        self._routes = routes.RouteTable(configuration.routes)
        for route in self._routes.list_routes():
            key = route.key
            splitter = self._splitters.get(key)
            if (
                splitter is None
                or splitter.weighted_services != route.weighted_services
            ):
                self._splitters[key] = splits.Splitter(route.weighted_services)
        self._latencies.set_routes(self._routes.list_routes())
        self.spreader.has_bound_demand = any(
            route.regions for route in configuration.routes
        ) or any(
            account.regions for account in configuration.accounts.values()
        )
        self._urgency.set_configuration(configuration)
        self.accounts.apply(configuration.accounts.values(), now)
        return True

    def _get_rollout(self, service: str) -> rollouts.Rollout:
        rollout = self.rollouts.get(service)
        if rollout is None:
            rollout = self.rollouts[service] = rollouts.Rollout(service)
            rollout.begin_era(self._era, self._settles_at_s)
        return rollout

    # Requests

    def find_route(self, hostname: str, path: str) -> model.Route | None:
        """Return the route of a request."""
        return self._routes.find_route(hostname, path)

    def find_account(self, key: str) -> model.Account | None:
        """Return the account that an API key belongs to."""
        if self.configuration is None:
            return None
        name = self.configuration.accounts_by_key.get(key)
        return None if name is None else self.configuration.accounts.get(name)

    def assess_peers(self, now: float) -> limiters.PeerLiveness:
        """Return which hosts sent no heartbeat lately."""
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
        arrived_s: float,
    ) -> calls.Call:
        """Open a request: choose its service and version."""
        service = self._splitters[route.key].choose_service()
        rollout = self.rollouts.get(service)
        self._retries.record_request(service)
        regions = eligibility.intersect_regions(route, account)
        if self.spreader.is_active:
            self.spreader.demand.record_request(service, regions, arrived_s)
        return calls.Call(
            id=request_id,
            route=route,
            account=account,
            affinity_key=affinity_key if route.has_affinity else "",
            service=service,
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            regions=regions,
            uses_new_version=rollout is not None
            and rollout.choose_new_version(),
            tried=set(),
        )

    def choose_backend(
        self, call: calls.Call, now: float
    ) -> calls.Choice | calls.Refusal:
        """Choose the backend server for the next attempt of a request.

        One that states a limit gets the request only if the limit allows it.
        """
        limited: set[str] = set()
        min_wait_s = deadlines.MAX_RETRY_AFTER_S
        while True:
            choice = self._choose_unless_limited(call, limited, now)
            if isinstance(choice, calls.Refusal):
                if limited and choice.best is None:
                    return calls.Refusal("server_limit", min_wait_s)
                if choice.best is None:
                    return self._explain_refusal(call, choice, now)
                return choice
            wait_s = self._admit_to_server(choice.state.entry, now)
            if wait_s <= 0.0:
                return choice
            min_wait_s = min(min_wait_s, wait_s)
            limited.add(choice.state.entry.id)

    def _explain_refusal(
        self, call: calls.Call, refusal: calls.Refusal, now: float
    ) -> calls.Refusal:
        """Return the refusal of a request for which no server is left.

        If some server only wants a pause, callers are to return after it,
        but not all at its end.
        """
        waits_s = [
            self._measure_server_wait(state.entry, now)
            for state in self._rank(call)
            if not state.is_draining and state.entry.id not in call.tried
        ]
        wait_s = min((w for w in waits_s if w > 0.0), default=0.0)
        if wait_s == 0.0:
            return refusal
        spread = WAIT_SPREAD_FRACTION * hashing.hash_fraction(call.id)
        return calls.Refusal("server_wait", wait_s * (1.0 + spread))

    def _measure_server_wait(self, entry: model.Backend, now: float) -> float:
        return self.server_signals.measure_wait(
            entry.id, entry.started_ms, now
        )

    def _admit_to_server(self, entry: model.Backend, now: float) -> float:
        """Return seconds until a server's limit allows one more request."""
        if not self.server_limits.is_limited(entry.id, entry.started_ms):
            return 0.0
        return self.server_limits.try_admit(
            entry.id,
            entry.started_ms,
            self.membership.list_live(now),
            self._regions.get(entry.data_centre, ""),
            now,
        )

    def _choose_unless_limited(
        self, call: calls.Call, limited: set[str], now: float
    ) -> calls.Choice | calls.Refusal:
        """Choose a backend server that is not one of the limited ones."""
        candidates = (
            state
            for state in self._rank(call)
            if state.entry.id not in limited
            and self._eligibility.is_usable(state, call, now)
        )
        cold: list[backends.BackendState] = []
        ready: list[backends.BackendState] = []
        for state in candidates:
            (cold if state.is_cold(now) else ready).append(state)
            if len(ready) == CANDIDATES:
                break
        if not ready and self._may_use_old_version(call):
            call.uses_new_version = False
            return self._choose_unless_limited(call, limited, now)
        choices = [
            self._estimator.predict(call, state, position, now)
            for position, state in enumerate(ready)
        ]
        best = self._select(call, choices, now)
        if best is None:
            best = self._choose_cold(call, cold, now)
        if best is None:
            return calls.Refusal("no_backend", NO_BACKEND_RETRY_AFTER_S)
        return self._admission.review(call, best, now) or best

    def _select(
        self, call: calls.Call, choices: list[calls.Choice], now: float
    ) -> calls.Choice | None:
        """Select one of the servers, where by work one that is in time.

        The best one may have a queue, while a dearer one would be in time.
        """
        if self._gate.is_open:
            in_time = [
                choice
                for choice in choices
                if self._deadlines.review(call, choice, now) is None
            ]
            choices = in_time or choices
        return self.selector.select(call, choices, now)

    def record_connect(self, address: str, took_s: float) -> None:
        """Record how long it took to open a connection to a server."""
        data_centre = self.inventory.find_data_centre(address)
        if data_centre is not None:
            self.round_trips.record(data_centre, took_s)

    def try_retry(self, service: str) -> bool:
        """Take a retry from the service's budget if there is one."""
        return self._retries.try_retry(service)

    def refill_budgets(self, passed_s: float) -> None:
        """Add this host's share of the retry slack."""
        self._retries.refill(passed_s, self.membership.count_hosts())

    def record_sent(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> None:
        """Record that a request was sent to the server chosen for it."""
        choice.state.in_flight += 1
        if choice.work_s > 0.0:
            choice.state.work.add(call.id, choice.work_s, now)

    def record_ended(self, call: calls.Call, choice: calls.Choice) -> None:
        """Record that a request ended there, or that it was given up."""
        choice.state.in_flight -= 1
        choice.state.work.remove(call.id)

    def measure_work(
        self, choice: calls.Choice, took_s: float, now: float
    ) -> float | None:
        """Return the work behind an answer, if its server had no queue."""
        return self._by_work.measure_work(choice, took_s, now)

    def update_latency(
        self,
        call: calls.Call,
        choice: calls.Choice,
        took_s: float,
        now: float,
    ) -> None:
        """Update the latency estimates from an answer of the server."""
        self._estimator.update(call, choice, took_s, now)

    def record_outcome(
        self, call: calls.Call, choice: calls.Choice, is_bad: bool, now: float
    ) -> bool:
        """Record an answer for the service's roll-out, if any.

        Returns:
            Whether this host now rejects the new version.
        """
        rollout = self.rollouts.get(call.service)
        if rollout is None:
            return False
        entry = choice.state.entry
        rollout.record_server(entry.id, False, now)
        return rollout.record_answer(entry.version, is_bad)

    def record_lost_answer(
        self,
        call: calls.Call,
        choice: calls.Choice,
        sent_s: float,
        now: float,
    ) -> None:
        """Record an answer that was lost for the service's roll-out, if any.

        Servers that have just started may be too slow, whatever their
        version.
        """
        rollout = self.rollouts.get(call.service)
        entry = choice.state.entry
        if rollout is not None and not choice.state.is_cold(now):
            rollout.record_lost_answer(
                lostanswers.LostAnswer(entry.id, entry.version, sent_s, now)
            )

    def record_gone_server(
        self, call: calls.Call, choice: calls.Choice, now: float
    ) -> None:
        """Record that a server does not listen, or that another one does."""
        rollout = self.rollouts.get(call.service)
        if rollout is not None:
            rollout.record_server(choice.state.entry.id, True, now)

    def count_lost_answers(self, now: float) -> list[str]:
        """Count lost answers that no gone server explains, for roll-outs.

        Returns:
            Services whose new version this host now rejects.
        """
        return [
            service
            for service, rollout in self.rollouts.items()
            if rollout.count_lost_answers(now)
        ]

    def _may_use_old_version(self, call: calls.Call) -> bool:
        """Tell whether the old version may run what the new one cannot."""
        rollout = self.rollouts.get(call.service)
        if rollout is None or not call.uses_new_version:
            return False
        return rollout.get_new_version_share() < 1.0

    def _rank(self, call: calls.Call) -> list[backends.BackendState]:
        generation = (self.inventory.generation, self.spreader.generation)
        if self._ranked_generation != generation:
            self._ranked_generation = generation
            self._rankings.clear()
        is_even = self._gate.is_open
        key = (call.service, call.affinity_key or call.id, is_even)
        ranking = self._rankings.get(key)
        if ranking is None:
            by_region: dict[str, list[backends.BackendState]] = {}
            for state in self.inventory.list_servers(call.service):
                if state.entry.data_centre not in self.inventory.evacuated:
                    region = self._regions.get(state.entry.data_centre, "")
                    by_region.setdefault(region, []).append(state)
            rank = (
                placement.rank_evenly if is_even else placement.rank_backends
            )
            ranking = rank(
                "|".join(key[:2]),
                self._own_region,
                by_region,
                len(set(self._regions.values())),
                self.spreader.get_shares(call.service),
            )
            if call.affinity_key:
                if len(self._rankings) >= MAX_CACHED_RANKINGS:
                    self._rankings.clear()
                self._rankings[key] = ranking
        return ranking

    def _choose_cold(
        self,
        call: calls.Call,
        cold: list[backends.BackendState],
        now: float,
    ) -> calls.Choice | None:
        assert self.configuration is not None
        service = self.configuration.services.get(call.service)
        rate = service.cold_rate if service is not None else 1.0
        for position, state in enumerate(cold):
            if self._cold_servers.try_send(state.entry.id, rate, now):
                return self._estimator.predict(call, state, position, now)
        return None
