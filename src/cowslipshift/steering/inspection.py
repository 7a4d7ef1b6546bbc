"""Finds routes that can never match, and limits that contradict each other."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import findings
from cowslipshift.config import inspection
from cowslipshift.steering import eligibility
from cowslipshift.steering import routes
from cowslipshift.steering import splits

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from cowslipshift.steering import model

MAX_LISTED_NAMES = 3


class Subject(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration whose entries have the paths of the operators' format.

    Attributes:
        routes: Routes by path, in their order.
        accounts: Client accounts by path.
        services: Services by path.
        names_with_key: Names of the accounts that have an API key.
        field_names: Names of the operators' format by those of `model`.
        backends: Backend servers that take requests; ``None`` if unknown.
        regions: Region by data centre, as far as it is known.
    """

    routes: Mapping[str, model.Route]
    accounts: Mapping[str, model.Account]
    services: Mapping[str, model.Service]
    names_with_key: frozenset[str]
    field_names: Mapping[str, str]
    backends: tuple[model.Backend, ...] | None = None
    regions: Mapping[str, str] = msgspec.field(default_factory=dict)

    def locate(self, path: str, field: str) -> str:
        """Return the path of a field of an entry."""
        return f"{path}.{self.field_names[field]}"

    def select_backends(
        self, service: str, regions: frozenset[str] | None = None
    ) -> list[model.Backend]:
        """Return the servers of a service, in some regions if given.

        Servers whose region is unknown count as within.
        """
        return [
            backend
            for backend in self.backends or ()
            if backend.service == service
            and (
                regions is None
                or self.regions.get(backend.data_centre) in {None, *regions}
            )
        ]


def inspect(subject: Subject) -> Iterator[findings.Finding]:
    """Yield each finding about a configuration."""
    yield from _inspect_matching(subject)
    for path, route in subject.routes.items():
        yield from _inspect_services(subject, path, route)
        yield from _inspect_regions(subject, path, route)
        yield from _inspect_limits(subject, path, route)
    used = {
        entry.service
        for route in subject.routes.values()
        for entry in route.weighted_services
    }
    for path, service in subject.services.items():
        if service.name not in used:
            yield _warn("service_unused", path, "no route names it")
        yield from _inspect_connections(subject, path, service)
    if subject.backends is not None:
        yield from inspection.find_services_without_servers(
            {
                path: len(subject.select_backends(service.name))
                for path, service in subject.services.items()
            }
        )
    for path, account in subject.accounts.items():
        yield from inspection.inspect_account(
            inspection.Account(
                path=path,
                quota_path=subject.locate(path, "rate"),
                has_key=account.name in subject.names_with_key,
                quota=account.rate,
                capacity=_compute_capacity(subject, account),
                unit="requests per second",
            )
        )


def _inspect_matching(subject: Subject) -> Iterator[findings.Finding]:
    table = routes.RouteTable(subject.routes.values())
    first_paths: dict[tuple[str, str], str] = {}
    for path, route in subject.routes.items():
        first = first_paths.setdefault(route.key, path)
        if first != path:
            yield _warn(
                "route_shadowed",
                subject.locate(path, "prefix"),
                f"never matches: {first} has the same host and prefix",
            )
        elif (
            not route.prefix.startswith("/")
            or table.find_route(route.hostname, route.prefix) is not route
        ):
            yield _warn(
                "route_unreachable",
                subject.locate(path, "prefix"),
                "never matches: the prefix must start with a slash, and the "
                "host must have no port",
            )


def _inspect_services(
    subject: Subject, path: str, route: model.Route
) -> Iterator[findings.Finding]:
    known = {service.name for service in subject.services.values()}
    used = splits.select_used_services(route.weighted_services)
    for entry in route.weighted_services:
        if entry.service not in known:
            yield findings.Finding(
                "error",
                "reference_unknown",
                path,
                f"there is no service '{entry.service}'",
            )
        if entry.weight < 0.0:
            yield findings.Finding(
                "error",
                "out_of_range",
                subject.locate(path, "weighted_services"),
                f"the weight of '{entry.service}' must not be negative",
            )
        elif entry not in used:
            yield _warn(
                "part_unused",
                subject.locate(path, "weighted_services"),
                f"the part of '{entry.service}' with the weight 0 gets no "
                "request",
            )
    if all(entry.weight <= 0.0 for entry in used):
        yield _warn(
            "split_without_weight",
            subject.locate(path, "weighted_services"),
            f"all requests go to '{used[0].service}': no weight is above 0",
        )


def _inspect_regions(
    subject: Subject, path: str, route: model.Route
) -> Iterator[findings.Finding]:
    field = subject.locate(path, "regions")
    if not route.is_public:
        shut_out = [
            account.name
            for account in subject.accounts.values()
            if eligibility.intersect_regions(route, account) == frozenset()
        ]
        if shut_out:
            yield _warn(
                "regions_disjoint",
                field,
                "no region may serve it for "
                f"{_list_names(shut_out)} ({len(shut_out)} of "
                f"{len(subject.accounts)} accounts)",
            )
    allowed = eligibility.intersect_regions(route, None)
    if allowed is None:
        return
    for entry in splits.select_used_services(route.weighted_services):
        if subject.select_backends(
            entry.service
        ) and not subject.select_backends(entry.service, allowed):
            yield _warn(
                "regions_without_servers",
                field,
                f"'{entry.service}' has no server in them",
            )


def _inspect_limits(
    subject: Subject, path: str, route: model.Route
) -> Iterator[findings.Finding]:
    timeout = subject.locate(path, "timeout_s")
    if route.timeout_s <= 0.0:
        yield findings.Finding(
            "error", "out_of_range", timeout, "must be above 0"
        )
    elif route.timeout_s < route.target_s:
        yield _warn(
            "timeout_below_target",
            timeout,
            f"{route.timeout_s:g} s end before the latency target of "
            f"{route.target_s:g} s",
        )
    attempts = subject.locate(path, "attempts")
    if route.attempts < 1:
        yield _warn(
            "attempts_below_one", attempts, "has no effect: one is made"
        )
    allowed = eligibility.intersect_regions(route, None)
    for entry in splits.select_used_services(route.weighted_services):
        count = len(subject.select_backends(entry.service, allowed))
        if 0 < count < route.attempts:
            yield _warn(
                "attempts_above_servers",
                attempts,
                f"{route.attempts} attempts are more than the servers of "
                f"'{entry.service}' that may serve it ({count})",
            )


def _inspect_connections(
    subject: Subject, path: str, service: model.Service
) -> Iterator[findings.Finding]:
    slots = max(
        (b.slots for b in subject.select_backends(service.name)), default=0
    )
    if 0 < service.connection_limit < slots:
        yield _warn(
            "connections_below_slots",
            subject.locate(path, "connection_limit"),
            f"{service.connection_limit} connections cannot fill the {slots} "
            "slots of a server",
        )


def _compute_capacity(subject: Subject, account: model.Account) -> float:
    """Return the requests per second that servers answer within the target.

    A service counts with the shortest target of its routes, and only servers
    that may serve the account do.

    Returns:
        0 if it is unknown.
    """
    targets: dict[str, float] = {}
    allowed: dict[str, set[str] | None] = collections.defaultdict(set)
    for route in subject.routes.values():
        if route.target_s <= 0.0:
            return 0.0
        regions = eligibility.intersect_regions(route, account)
        for entry in splits.select_used_services(route.weighted_services):
            name = entry.service
            targets[name] = min(
                route.target_s, targets.get(name, route.target_s)
            )
            known = allowed[name]
            if regions is None or known is None:
                allowed[name] = None
            else:
                known |= regions
    total = 0.0
    for name, target_s in targets.items():
        listed = allowed[name]
        regions = None if listed is None else frozenset(listed)
        slots = sum(b.slots for b in subject.select_backends(name, regions))
        total += slots / target_s
    return total


def _list_names(names: list[str]) -> str:
    shown = ", ".join(names[:MAX_LISTED_NAMES])
    return shown + (", ..." if len(names) > MAX_LISTED_NAMES else "")


def _warn(code: str, path: str, message: str) -> findings.Finding:
    return findings.Finding("warning", code, path, message)
