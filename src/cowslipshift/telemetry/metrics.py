"""Prometheus metrics of a host that runs `cowslipshift.daemon`.

Hosts on a platform use `cowslipshift.edge.metrics` instead.
"""

from __future__ import annotations

import collections

import aioprometheus

LATENCY_BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Metrics:
    """The metrics of one host and the registry that holds them.

    Args:
        host: Name of the host, the ``host`` label of each metric.
    """

    def __init__(self, host: str) -> None:
        self.registry = aioprometheus.Registry()
        self._labels = {"host": host}
        self._counters: dict[str, aioprometheus.Counter] = {}
        self._pending: collections.Counter[
            tuple[str, tuple[tuple[str, str], ...]]
        ] = collections.Counter()
        self.lookups = self._add_counter(
            "cowslipshift_lookups_total", "Look-ups by outcome."
        )
        self.requests = self._add_counter(
            "cowslipshift_requests_total",
            "Requests by service and status code.",
        )
        self.refusals = self._add_counter(
            "cowslipshift_refusals_total", "Refusals by error code."
        )
        self.forwards = self._add_counter(
            "cowslipshift_forwards_total", "Requests passed to other hosts."
        )
        self.retries = self._add_counter(
            "cowslipshift_retries_total", "Second attempts by reason."
        )
        self.latency = aioprometheus.Histogram(
            "cowslipshift_request_seconds",
            "Time from request to answer.",
            const_labels=self._labels,
            buckets=list(LATENCY_BUCKETS_S),
            registry=self.registry,
        )
        self.revision = self._add_gauge(
            "cowslipshift_config_revision", "Configuration in force."
        )
        self.peers = self._add_gauge(
            "cowslipshift_peers", "Linked hosts by state."
        )
        self.slots = self._add_gauge(
            "cowslipshift_slots", "Slots of owned backend servers by state."
        )
        self.queued = self._add_gauge(
            "cowslipshift_queued_requests", "Requests that wait for a slot."
        )
        self.peer_bytes = self._add_counter(
            "cowslipshift_peer_bytes_total", "Control traffic by direction."
        )
        self.store_calls = self._add_counter(
            "cowslipshift_store_calls_total", "Calls of the store by kind."
        )

    def count(
        self, counter: aioprometheus.Counter, amount: int = 1, **labels: str
    ) -> None:
        """Add to a counter; the amount is applied when `render` is called.

        This is an order of magnitude cheaper than adding immediately.
        """
        self._pending[counter.name, tuple(labels.items())] += amount

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in Prometheus text format and HTTP headers."""
        pending, self._pending = self._pending, collections.Counter()
        for (name, labels), amount in pending.items():
            self._counters[name].add(dict(labels), amount)
        content, headers = aioprometheus.render(
            self.registry, ["text/plain; version=0.0.4"]
        )
        return content, headers

    def _add_counter(self, name: str, doc: str) -> aioprometheus.Counter:
        counter = aioprometheus.Counter(
            name, doc, const_labels=self._labels, registry=self.registry
        )
        self._counters[name] = counter
        return counter

    def _add_gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            name, doc, const_labels=self._labels, registry=self.registry
        )
