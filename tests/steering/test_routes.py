"""Routes of several virtual hosts, whatever their names are."""

from __future__ import annotations

import collections

import pytest
from tests import builders

from cowslipshift.steering import changes
from cowslipshift.steering import model
from cowslipshift.steering import splits

ORDERS = builders.build_route(
    name="entries",
    prefix="/orders/",
    weighted_services=(model.WeightedService("orders", 1.0),),
)
FILES = builders.build_route(
    name="entries",
    hostname="office.example",
    prefix="/files/",
    weighted_services=(model.WeightedService("files", 1.0),),
)
FILES_OF_SAME_PREFIX = builders.build_route(
    name="entries",
    hostname="office.example",
    prefix="/orders/",
    weighted_services=(model.WeightedService("files", 1.0),),
)
FILES_OF_SAME_HOST = builders.build_route(
    name="entries",
    prefix="/orders/files/",
    weighted_services=(model.WeightedService("files", 1.0),),
)


def build_balancer(*routes, version=1):
    return builders.build_balancer(
        configuration=builders.build_platform_configuration(
            *routes, version=version
        )
    )


def choose_service(balancer, hostname, path):
    route = balancer.find_route(hostname, path)
    assert route is not None
    call = balancer.open_call("r", route, None, "x", 1.0, 0.0)
    return call.service


# Guards against requests that run at the service of another host's route, as
# that route has the same name.
@pytest.mark.parametrize("order", (1, -1))
@pytest.mark.parametrize(
    ("other", "path"),
    (
        (FILES, "/files/1"),
        (FILES_OF_SAME_PREFIX, "/orders/1"),
        (FILES_OF_SAME_HOST, "/orders/files/1"),
    ),
)
def test_routes_of_one_name_keep_their_own_services(
    other, path, order
) -> None:
    balancer = build_balancer(*(ORDERS, other)[::order])
    for _ in range(3):
        assert choose_service(balancer, "tills.example", "/orders/1") == (
            "orders"
        )
        assert choose_service(balancer, other.hostname, path) == "files"


# Guards against the same when a configuration adds the other route later.
def test_route_that_is_added_under_a_known_name_moves_no_requests() -> None:
    balancer = build_balancer(ORDERS)
    balancer.apply(
        changes.ConfigurationChange(
            builders.build_platform_configuration(ORDERS, FILES, version=2)
        ),
        1.0,
    )
    assert choose_service(balancer, "tills.example", "/orders/1") == "orders"
    assert choose_service(balancer, "office.example", "/files/1") == "files"


def test_routes_of_one_name_learn_their_own_latencies() -> None:
    servers = (
        builders.build_backend("o", service="orders"),
        builders.build_backend("f", service="files"),
    )
    balancer = builders.build_balancer(
        backends=servers,
        configuration=builders.build_platform_configuration(ORDERS, FILES),
    )
    orders = builders.open_call(balancer, affinity_key="", route=0)
    files = builders.open_call(balancer, affinity_key="", route=1)
    before = balancer.choose_backend(files, 0.0)
    choice = balancer.choose_backend(orders, 0.0)
    for _ in range(50):
        balancer.update_latency(orders, choice, 10.0, 10.0)
    assert balancer.choose_backend(files, 0.0).expected_s == before.expected_s


def test_route_is_found_whatever_the_case_of_its_host() -> None:
    shouted = builders.build_route(
        hostname="TILLS.example",
        weighted_services=(model.WeightedService("files", 1.0),),
    )
    balancer = build_balancer(shouted)
    assert choose_service(balancer, "tills.EXAMPLE:80", "/sheets/1") == "files"


def test_first_route_of_a_host_and_prefix_applies_with_its_services() -> None:
    second = builders.build_route(
        name="later",
        hostname="TILLS.example",
        weighted_services=(model.WeightedService("files", 1.0),),
    )
    balancer = build_balancer(builders.build_route(), second)
    assert choose_service(balancer, "tills.example", "/sheets/1") == "sheets"


@pytest.mark.parametrize(
    ("weights", "counts"),
    [
        ({"a": 3.0, "b": 1.0}, {"a": 30, "b": 10}),
        ({"a": 0.0, "b": 3.0, "c": 1.0}, {"b": 30, "c": 10}),
        ({"a": 0.0, "b": 0.0}, {"a": 40}),
        ({"a": 0.0}, {"a": 40}),
        ({"a": 1.0, "b": -1.0}, {"a": 40}),
    ],
)
def test_services_without_weight_get_no_requests(weights, counts) -> None:
    weighted = tuple(model.WeightedService(s, w) for s, w in weights.items())
    splitter = splits.Splitter(weighted)
    chosen = [splitter.choose_service() for _ in range(40)]
    assert collections.Counter(chosen) == counts
