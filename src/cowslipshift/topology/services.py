"""Services and the routes of their paths."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model


class ServiceTable:
    """The services and routes of a configuration."""

    def __init__(self, configuration: model.Configuration) -> None:
        self._services = {s.name: s for s in configuration.services}
        self._routes = {
            service.name: sorted(
                service.routes, key=lambda r: len(r.name), reverse=True
            )
            for service in configuration.services
        }

    def find_service(self, name: str) -> model.Service | None:
        """Return a service by name."""
        return self._services.get(name)

    def find_route(self, service: str, path: str) -> model.Route | None:
        """Return the route whose path prefix is the longest that matches."""
        for route in self._routes.get(service, ()):
            if path == route.name or path.startswith(
                route.name.rstrip("/") + "/"
            ):
                return route
        return None
