"""Routing of requests to hosts, with retries."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from cowslipshift.coordination import budgets
from cowslipshift.serving import calls
from cowslipshift.serving import refusals
from cowslipshift.serving.backend import forwarding
from cowslipshift.serving.backend import slots
from cowslipshift.telemetry import logs

if TYPE_CHECKING:
    from cowslipshift import clock as clocks
    from cowslipshift.moves import controller as move_controllers
    from cowslipshift.routing import loads
    from cowslipshift.routing import preference
    from cowslipshift.routing import selection
    from cowslipshift.serving.backend import dispatcher as dispatchers
    from cowslipshift.telemetry import metrics as metric
    from cowslipshift.topology import index as indexes
    from cowslipshift.topology import links

MAX_CANDIDATES = 4
EXPECTED_ANSWER_BYTES = 16_384

RETRY_ELSEWHERE_CODES = frozenset({"overloaded", "host_leaving"})
"""Codes of refusals after which the next host is tried."""


class Router:
    """Tries hosts in order until one answers.

    A request is sent to the next host if it certainly did not run, or if it
    is idempotent and the retry budget permits.

    Args:
        host: Name of this host.
        clock: Source of the present time.
        selector: Orders the hosts.
        dispatcher: Runs requests on backend servers, on this host's slots.
        forwarder: Forwards requests to other hosts.
        load_table: Load of other hosts.
        metrics: Metrics of this host.
        regions: Orders regions and data centres.
        moves: Assigns requests to versions.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        selector: selection.Selector,
        dispatcher: dispatchers.Dispatcher,
        forwarder: forwarding.Forwarder,
        load_table: loads.LoadTable,
        metrics: metric.Metrics,
        regions: preference.RegionOrder,
        moves: move_controllers.MoveController,
    ) -> None:
        self._host = host
        self._clock = clock
        self._selector = selector
        self._dispatcher = dispatcher
        self._forwarder = forwarder
        self._load_table = load_table
        self._metrics = metrics
        self._regions = regions
        self._moves = moves
        self._log = logs.EventLog("router")
        self._config_index: indexes.ConfigurationIndex | None = None
        self._link_table: links.LinkTable | None = None
        self._region = ""
        self._budgets: dict[str, budgets.RetryBudget] = {}

    def apply(
        self,
        config_index: indexes.ConfigurationIndex,
        link_table: links.LinkTable,
        region: str,
    ) -> None:
        """Apply a new configuration.

        Args:
            config_index: The configuration.
            link_table: Bandwidth limits of the links to other regions.
            region: Region of this host.
        """
        self._config_index = config_index
        self._link_table = link_table
        self._region = region

    async def run(self, call: calls.Call) -> calls.Reply:
        """Run a request on the best host with capacity.

        Raises:
            Refusal: No host answered the request.
        """
        if self._config_index is None:
            raise refusals.refuse_overloaded(
                "this host has no configuration yet"
            )
        budget = self._budgets.setdefault(call.service, budgets.RetryBudget())
        budget.record_attempt(
            self._config_index.settings.resolve(
                "retry_ratio", self._clock.wall(), service=call.service
            )
        )
        candidates = self._list_candidates(self._config_index, call)
        refusal: refusals.Refusal | None = None
        may_have_run = False
        for candidate in candidates[:MAX_CANDIDATES]:
            if not self._reserve_bandwidth(call, candidate):
                continue
            try:
                return await self._try_candidate(call, candidate)
            except refusals.Refusal as error:
                if (
                    not error.not_run
                    or error.code not in RETRY_ELSEWHERE_CODES
                ):
                    if may_have_run:
                        raise _refuse_retry() from error
                    raise
                refusal = error
            except forwarding.ForwardFailedError as error:
                may_have_run = may_have_run or not error.not_run
                self._handle_failed_forward(
                    call, candidate, error, may_have_run, budget
                )
            if not call.body.is_replayable:
                break
        if may_have_run:
            raise _refuse_retry()
        raise refusal or refusals.refuse_overloaded(
            f"no region has capacity for service {call.service}"
        )

    def _list_candidates(
        self, config_index: indexes.ConfigurationIndex, call: calls.Call
    ) -> list[selection.Candidate]:
        """Assign a version to a request and order the hosts that may run it.

        A request for the new version without a candidate host gets the old
        version, so that the new one may get less than its share.
        """
        places = [
            (region, self._regions.filter_centres(config_index, call, region))
            for region in self._regions.order_for_call(config_index, call)
        ]
        versions = [call.version]
        if call.scope is calls.Scope.FLEET:
            versions = self._moves.list_versions(
                call.service,
                call.route,
                call.key or call.id,
                self._clock.wall(),
            )
        now = self._clock.now()
        for call.version in versions:
            candidates = self._selector.list_candidates(
                config_index, call, places, now
            )
            if candidates:
                return candidates
        return []

    def _reserve_bandwidth(
        self, call: calls.Call, candidate: selection.Candidate
    ) -> bool:
        if candidate.region in ("", self._region) or self._link_table is None:
            return True
        size = (call.body.length or 0) + EXPECTED_ANSWER_BYTES
        return self._link_table.try_take(
            candidate.region, size, self._clock.now()
        )

    async def _try_candidate(
        self, call: calls.Call, candidate: selection.Candidate
    ) -> calls.Reply:
        if candidate.host == self._host:
            return await self._dispatcher.run(call)
        self._log.info(
            "route",
            request=call.id,
            service=call.service,
            account=call.account,
            target=candidate.host,
            region=candidate.region,
            version=call.version,
            room=candidate.has_free_slot,
        )
        self._metrics.count(self._metrics.forwards, target=candidate.host)
        name = slots.name_load(call.service, call.version)
        self._load_table.adjust_in_flight(candidate.host, name, 1)
        stack = contextlib.ExitStack()
        stack.callback(
            self._load_table.adjust_in_flight, candidate.host, name, -1
        )
        with stack:
            reply = await self._forwarder.forward(
                call, candidate.host, candidate.scope
            )
            callbacks = stack.pop_all()
        reply.add_callback(callbacks.close)
        return reply

    def _handle_failed_forward(
        self,
        call: calls.Call,
        candidate: selection.Candidate,
        error: forwarding.ForwardFailedError,
        may_have_run: bool,
        budget: budgets.RetryBudget,
    ) -> None:
        """Tell by returning that the next host may be tried.

        Raises:
            Refusal: No other host may be tried.
        """
        self._log.info(
            "forward_lost",
            request=call.id,
            target=candidate.host,
            not_run=error.not_run,
            reason=error,
        )
        if self._clock.now() >= call.deadline_s:
            if may_have_run:
                raise refusals.refuse_timeout() from error
            raise refusals.refuse_expired() from error
        if error.not_run:
            return
        if not call.idempotent or not budget.try_spend():
            raise refusals.refuse_unknown_outcome(
                "the connection to another host was lost"
            ) from error
        self._metrics.count(self._metrics.retries, reason="forward")


def _refuse_retry() -> refusals.Refusal:
    """Report that no host answered a request that an earlier one may run."""
    return refusals.refuse_unknown_outcome(
        "an earlier host may have run the request, and no other answered"
    )
