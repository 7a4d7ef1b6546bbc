"""Finds the route of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.steering import model


class RouteTable:
    """Routes by virtual host, longest prefix first.

    Of routes with the same host and prefix the first one applies.
    """

    __slots__ = ("_by_host", "_by_key")

    def __init__(self, routes: Iterable[model.Route]) -> None:
        self._by_key: dict[tuple[str, str], model.Route] = {}
        for route in routes:
            self._by_key.setdefault(route.key, route)
        self._by_host: dict[str, list[model.Route]] = {}
        for (hostname, _), route in self._by_key.items():
            self._by_host.setdefault(hostname, []).append(route)
        for listed in self._by_host.values():
            listed.sort(key=lambda route: len(route.prefix), reverse=True)

    def list_routes(self) -> list[model.Route]:
        """Return the routes that apply."""
        return list(self._by_key.values())

    def find_route(self, hostname: str, path: str) -> model.Route | None:
        """Return the route of a request.

        Args:
            hostname: Host that the client names; a port is ignored.
            path: Path of the request, without the query.
        """
        name = hostname.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None
