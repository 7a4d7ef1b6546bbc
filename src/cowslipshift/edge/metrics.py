"""Prometheus metrics of a host on a platform."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import aioprometheus

if TYPE_CHECKING:
    from cowslipshift.steering import model
    from cowslipshift.store import interface

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 1.5, 2.5, 4.0, 8.0)

WORK_RATIO_BUCKETS = (0.25, 0.5, 0.7, 0.85, 1.0, 1.2, 1.4, 2.0, 4.0, 8.0)


class EdgeMetrics:
    """Counters and a latency histogram.

    Counts are collected in memory and added to the registry when it is
    rendered.
    """

    def __init__(self, host: str) -> None:
        self._registry = aioprometheus.Registry()
        self._labels = {"host": host}
        self._pending: collections.Counter[
            tuple[str, tuple[tuple[str, str], ...]]
        ] = collections.Counter()
        self._counters = {
            name: aioprometheus.Counter(
                name, doc, const_labels=self._labels, registry=self._registry
            )
            for name, doc in (
                ("cowslipshift_answers_total", "Answers of backend servers."),
                ("cowslipshift_refusals_total", "Answers of the system."),
                ("cowslipshift_admissions_total", "Requests by admission."),
                ("cowslipshift_failures_total", "Failed attempts."),
                ("cowslipshift_lookups_total", "Look-ups."),
                ("cowslipshift_store_calls_total", "Calls of the store."),
                ("cowslipshift_peer_bytes_total", "Bytes between hosts."),
                ("cowslipshift_fetches_total", "Changes asked of hosts."),
                ("cowslipshift_usage_calls_total", "Usage reports sent."),
                ("cowslipshift_duty_turns_total", "Turns at the duty."),
                (
                    "cowslipshift_store_eras_total",
                    "Times that the store came back from a copy.",
                ),
            )
        }
        self._gauges = {
            name: aioprometheus.Gauge(
                name, doc, const_labels=self._labels, registry=self._registry
            )
            for name, doc in (
                ("cowslipshift_store_revision", "Revision of the replica."),
                ("cowslipshift_store_era", "Era of that revision."),
                ("cowslipshift_config_version", "Configuration in force."),
                (
                    "cowslipshift_behind_seconds",
                    "Time for which a newer revision has been known of.",
                ),
                (
                    "cowslipshift_replica_age_seconds",
                    "Time since the replica was last proven current.",
                ),
                (
                    "cowslipshift_replica_is_informed",
                    "0 while nothing but an older copy was read.",
                ),
            )
        }
        self._latency = aioprometheus.Histogram(
            "cowslipshift_request_seconds",
            "Time from request to the answer of a backend server.",
            const_labels=self._labels,
            buckets=list(LATENCY_BUCKETS_S),
            registry=self._registry,
        )
        self._work_ratio = aioprometheus.Histogram(
            "cowslipshift_work_ratio",
            "True over predicted work of requests that did not queue.",
            const_labels=self._labels,
            buckets=list(WORK_RATIO_BUCKETS),
            registry=self._registry,
        )

    def observe_work(self, route: model.Route, ratio: float) -> None:
        """Record how good the prediction of a request's work was.

        Args:
            route: Its route.
            ratio: True over predicted work.
        """
        self._work_ratio.observe(
            {"hostname": route.hostname, "route": route.name}, ratio
        )

    def count_answer(
        self, route: model.Route, priority: int, status: int, took_s: float
    ) -> None:
        """Count an answer from a backend server and its latency."""
        self._add(
            "cowslipshift_answers_total",
            hostname=route.hostname,
            route=route.name,
            rank=str(priority),
            status=str(status),
        )
        self._latency.observe(
            {"hostname": route.hostname, "route": route.name}, took_s
        )

    def count_refusal(self, code: str, status: int, priority: str) -> None:
        """Count a request that the system itself answered with an error.

        Args:
            code: Error code of the refusal.
            status: HTTP status.
            priority: Priority of the request, empty if it was not known yet.
        """
        self._add(
            "cowslipshift_refusals_total",
            code=code,
            status=str(status),
            rank=priority,
        )

    def count_admission(self, priority: int, outcome: str) -> None:
        """Count whether a request got room at first.

        Args:
            priority: Priority of the request.
            outcome: ``admitted``, ``returned`` for one that had been promised
                room, ``promised`` or ``refused``.
        """
        self._add(
            "cowslipshift_admissions_total",
            rank=str(priority),
            outcome=outcome,
        )

    def count_failure(self, code: str) -> None:
        """Count an attempt that got no valid answer."""
        self._add("cowslipshift_failures_total", code=code)

    def count_lookup(self) -> None:
        """Count a look-up."""
        self._add("cowslipshift_lookups_total")

    def count_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._add("cowslipshift_store_calls_total", kind=kind, outcome=outcome)

    def count_peer_bytes(self, direction: str, size: int) -> None:
        """Count bytes sent to or received from other hosts."""
        self._add("cowslipshift_peer_bytes_total", size, direction=direction)

    def count_fetch(self, outcome: str, size: int) -> None:
        """Count a request for changes to another host.

        Args:
            outcome: HTTP status of the answer, or ``none``.
            size: Bytes of the answer.
        """
        self._add("cowslipshift_fetches_total", outcome=outcome)
        self._add("cowslipshift_peer_bytes_total", size, direction="fetched")

    def count_usage_call(self, outcome: str) -> None:
        """Count a call with a usage report."""
        self._add("cowslipshift_usage_calls_total", outcome=outcome)

    def count_duty_turn(self, event: str) -> None:
        """Count that this host took the duty, or lost it."""
        self._add("cowslipshift_duty_turns_total", event=event)

    def count_store_era(self) -> None:
        """Count that the store has come back from a copy."""
        self._add("cowslipshift_store_eras_total")

    def set_replica_state(
        self,
        position: interface.Position,
        version: int,
        behind_s: float,
        age_s: float,
        is_informed: bool,
    ) -> None:
        """Record how far this host has followed the store.

        Args:
            position: Position of the replica.
            version: Version of the configuration in force.
            behind_s: Seconds for which a newer revision has been known of.
            age_s: Seconds since the replica was last proven current.
            is_informed: Whether more is known than an older copy.
        """
        for name, value in (
            ("cowslipshift_store_revision", position.revision),
            ("cowslipshift_store_era", position.era),
            ("cowslipshift_config_version", version),
            ("cowslipshift_behind_seconds", behind_s),
            ("cowslipshift_replica_age_seconds", age_s),
            ("cowslipshift_replica_is_informed", int(is_informed)),
        ):
            self._gauges[name].set({}, value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the exposition text and its HTTP headers."""
        pending, self._pending = self._pending, collections.Counter()
        for (name, labels), amount in pending.items():
            self._counters[name].add(dict(labels), amount)
        content, headers = aioprometheus.render(
            self._registry, ["text/plain; version=0.0.4"]
        )
        return content, headers

    def _add(self, counter: str, amount: int = 1, **labels: str) -> None:
        self._pending[counter, tuple(labels.items())] += amount
