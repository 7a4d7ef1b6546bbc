"""Requests run only where the configuration in force lets them.

Guards against routes, services and accounts that share what is kept of them
because their names are the same. Every name that the platform's pages let
collide does so here.
"""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from cowslipshift.platform import codec
from cowslipshift.standins import platformfleet
from cowslipshift.steering import changes
from tests import builders

HOSTNAMES = ("a.example", "A.Example", "b.example")
PREFIXES = ("/", "/x/", "/x/y/", "/xy/")
NAMES = ("n", "m", "/x/", "a.example")
SERVICES = ("s", "t", "n")
PATHS = ("/", "/1", "/x/1", "/x/y/1", "/x/y", "/xy/1")
REQUESTS_EACH = 4
"""Requests to each path, more than a split has parts."""

splits = st.lists(
    st.fixed_dictionaries(
        {"service": st.sampled_from(SERVICES), "weight": st.integers(0, 3)}
    ),
    max_size=3,
)
paths = st.fixed_dictionaries(
    {
        "name": st.sampled_from(NAMES),
        "prefix": st.sampled_from(PREFIXES),
        "type": st.sampled_from(("idempotent", "non_idempotent")),
        "service": st.sampled_from(SERVICES),
        "traffic_split": splits,
        "timeout_ms": st.just(800),
        "target_latency_ms": st.just(300),
        "attempts": st.integers(1, 3),
    }
)
virtual_hosts = st.lists(
    st.fixed_dictionaries(
        {
            "hostname": st.sampled_from(HOSTNAMES),
            "paths": st.lists(
                paths, max_size=4, unique_by=lambda path: path["prefix"]
            ),
        }
    ),
    max_size=3,
    unique_by=lambda host: host["hostname"].lower(),
)


def find_allowed(
    hosts: list[dict[str, Any]], hostname: str, path: str
) -> set[str] | None:
    """Return the services that may run a request; ``None`` without a route.

    The plain model of the platform's page: the host and the longest prefix.
    """
    found: dict[str, Any] | None = None
    for host in hosts:
        if host["hostname"].lower() != hostname.lower():
            continue
        for route in host["paths"]:
            if path.startswith(route["prefix"]) and (
                found is None or len(route["prefix"]) > len(found["prefix"])
            ):
                found = route
    if found is None:
        return None
    if not found["traffic_split"]:
        return {found["service"]}
    weighted = {
        part["service"] for part in found["traffic_split"] if part["weight"]
    }
    # A split without any weight is none that the page explains.
    return weighted or {part["service"] for part in found["traffic_split"]}


@given(st.lists(virtual_hosts, min_size=1, max_size=4))
def test_requests_run_only_where_the_newest_configuration_lets_them(
    versions: list[list[dict[str, Any]]],
) -> None:
    balancer = builders.build_balancer(
        configuration=builders.build_platform_configuration(version=0)
    )
    for number, hosts in enumerate(versions, 1):
        raw = platformfleet.build_config(number, virtual_hosts=hosts)
        configuration = codec.decode_configuration(raw)
        balancer.apply(changes.ConfigurationChange(configuration), 1.0)
        for hostname in HOSTNAMES:
            for path in PATHS * REQUESTS_EACH:
                allowed = find_allowed(hosts, hostname, path)
                route = balancer.find_route(hostname, path)
                if route is None or allowed is None:
                    assert (route, allowed) == (None, None)
                    continue
                call = balancer.open_call("r", route, None, "x", 2.0, 1.0)
                assert call.service in allowed
                choice = balancer.choose_backend(call, 1.0)
                assert msgspec.structs.asdict(choice)["reason"] == "no_backend"
