"""HTTP interface for operators: status, health and metrics of a host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
import msgspec

from cowslipshift.config import weights

if TYPE_CHECKING:
    from cowslipshift.daemon import host as hosts
    from cowslipshift.daemon import storewatcher as watchers
    from cowslipshift.telemetry import metrics as metric


class AdminApi:
    """Serves the status, health and metrics of a host.

    Args:
        host: The host.
        watcher: Its store watcher.
        metrics: Its metrics.
    """

    def __init__(
        self,
        host: hosts.Host,
        watcher: watchers.StoreWatcher,
        metrics: metric.Metrics,
    ) -> None:
        self._host = host
        self._watcher = watcher
        self._metrics = metrics

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Add the operators' routes to an application."""
        router.add_get("/v1/status", self.handle_status)
        router.add_get("/healthz", self.handle_health)
        router.add_get("/metrics", self.handle_metrics)

    async def handle_status(self, request: web.Request) -> web.Response:
        """Return the status document as JSON."""
        return web.Response(
            body=msgspec.json.encode(self.describe()),
            content_type="application/json",
        )

    async def handle_health(self, request: web.Request) -> web.Response:
        """Tell whether the host can serve callers."""
        ready = self._host.config_index is not None and not (
            self._host.membership_view.is_leaving
        )
        return web.Response(
            status=200 if ready else 503, text="ok" if ready else "not ready"
        )

    async def handle_metrics(self, request: web.Request) -> web.Response:
        """Render the metrics for Prometheus."""
        self._update_gauges()
        content, headers = self._metrics.render()
        return web.Response(body=content, headers=headers)

    def describe(self) -> dict[str, object]:
        """Build the status document."""
        host = self._host
        components = host.components
        return {
            "host": host.settings.name,
            "data_centre": host.settings.data_centre,
            "region": host.settings.region,
            "revision": host.config_replica.revision,
            "incarnation": host.membership_view.incarnation,
            "leaving": host.membership_view.is_leaving,
            "settled": host.membership_view.is_settled(),
            "homes_waiting": host.has_pending_resources(),
            "suspended": host.membership_view.is_suspended,
            "watches_store": self._watcher.is_watcher(),
            "store_connected": self._watcher.is_connected,
            "hosts": self._list_addresses(),
            "linked": host.network.list_linked(),
            "members": host.membership_view.list_members(),
            "peers": {
                peer.name: peer.state.value
                for peer in host.membership_view.peers.values()
            },
            "loads": [
                msgspec.to_builtins(load)
                for load in components.slots.measure_loads()
            ],
            "moves": components.moves.describe_moves(host.clock.wall()),
            "shifts": self._describe_shifts(),
            "accounts": components.quotas.describe_shares(),
            "facts": [
                msgspec.to_builtins(fact)
                for fact in host.fact_table.list_facts()
            ],
            "requests_running": components.gateway.in_flight,
        }

    def _describe_shifts(self) -> list[dict[str, object]]:
        config_index = self._host.config_index
        if config_index is None:
            return []
        wall_s = self._host.clock.wall()
        return [
            {
                "id": shift.id,
                "service": shift.service,
                "place": shift.place,
                "weight": round(
                    weights.compute_shift_weight(shift, wall_s), 4
                ),
                "to": shift.to_weight,
                "left_s": round(weights.compute_remaining_s(shift, wall_s), 1),
            }
            for shift in config_index.configuration.shifts
        ]

    def _list_addresses(self) -> dict[str, str]:
        config_index = self._host.config_index
        if config_index is None:
            return {}
        return {
            name: entry.url for name, entry in config_index.fleet.hosts.items()
        }

    def _update_gauges(self) -> None:
        metrics = self._metrics
        linked = len(self._host.network.list_linked())
        metrics.peers.set({"state": "linked"}, linked)
        for load in self._host.components.slots.measure_loads():
            labels = {"service": load.service}
            metrics.slots.set({**labels, "state": "usable"}, load.usable)
            metrics.slots.set({**labels, "state": "in_use"}, load.in_use)
            metrics.queued.set(labels, load.queued)
