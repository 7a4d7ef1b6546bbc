"""Choice of backend servers under load, faults and roll-out orders."""

from __future__ import annotations

import collections

import pytest
from tests import builders

from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import calls
from cowslipshift.steering import changes
from cowslipshift.steering import model

SERVERS = tuple(builders.build_backend(f"s{n}") for n in range(6))


def choose(balancer, affinity_key="x", now=0.0, **fields):
    call = builders.open_call(balancer, affinity_key, now, **fields)
    return balancer.choose_backend(call, now)


def test_hosts_agree_on_an_object_without_communication() -> None:
    first = builders.build_balancer("h1", backends=SERVERS)
    second = builders.build_balancer("h2", backends=SERVERS[::-1])
    for number in range(50):
        one = choose(first, str(number)).state.entry.id
        assert one == choose(second, str(number)).state.entry.id


def test_short_queue_is_waited_out_and_a_long_one_is_not() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    primary = choose(balancer).state
    primary.in_flight = primary.entry.slots + 1
    assert choose(balancer).state is primary
    primary.in_flight = primary.entry.slots * 4
    assert choose(balancer).state is not primary


def test_overloaded_object_spreads_over_two_servers_only() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    used = collections.Counter()
    for _ in range(60):
        choice = choose(balancer, remaining_s=60.0)
        choice.state.in_flight += 1
        used[choice.state.entry.id] += 1
    assert len(used) == balancers.CANDIDATES


def test_request_without_capacity_is_refused_with_retry_after() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    for state in balancer.inventory.by_id.values():
        state.in_flight = 100
    refusal = choose(balancer)
    assert isinstance(refusal, calls.Refusal)
    assert refusal.reason == "no_room"
    assert refusal.retry_after_s > 0.0


def test_estimated_service_time_alone_causes_no_refusal() -> None:
    route = builders.build_route(target_s=5.0, timeout_s=6.0)
    balancer = builders.build_balancer(
        backends=SERVERS,
        configuration=builders.build_platform_configuration(route),
    )
    assert isinstance(choose(balancer, remaining_s=0.5), calls.Choice)


def test_allowed_regions_of_route_and_account_both_apply() -> None:
    servers = (
        builders.build_backend("n", data_centre="north-a"),
        builders.build_backend("s", data_centre="south-a"),
        builders.build_backend("w", data_centre="west-a"),
    )
    route = builders.build_route(regions=("north", "south"))
    account = model.Account("a", 1, 0.0, 0.0, ("south", "west"))
    balancer = builders.build_balancer(
        backends=servers,
        configuration=builders.build_platform_configuration(route),
    )
    for number in range(20):
        choice = choose(balancer, str(number), account=account)
        assert choice.state.entry.id == "s"


def test_slow_server_is_avoided_and_tried_again_later() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    for _ in range(6):
        state.record_answer("x", 2.0, 0.2, 1.0)
    assert choose(balancer, now=1.0).state is not state
    assert choose(balancer, now=40.0).state is state


def test_server_that_refuses_connections_is_ejected_temporarily() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    assert state.record_failure(1.0, is_down=True)
    assert choose(balancer, now=1.1).state is not state
    again = choose(balancer, now=2.0)
    assert again.state is state
    state.in_flight = 1
    assert choose(balancer, now=2.0).state is not state


def test_draining_and_deregistered_servers_get_no_requests() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    first = choose(balancer).state.entry
    balancer.apply(
        changes.BackendChange(
            first.id, builders.build_backend(first.id, is_draining=True)
        ),
        1.0,
    )
    second = choose(balancer, now=1.0).state.entry
    assert second.id != first.id
    balancer.apply(changes.BackendChange(second.id, None), 1.0)
    assert choose(balancer, now=1.0).state.entry.id not in (
        first.id,
        second.id,
    )


def test_entries_that_expire_in_an_outage_are_kept_until_it_is_over() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    balancer.inventory.record_store_outage(10.0)
    for server in SERVERS:
        balancer.apply(changes.BackendChange(server.id, None), 10.5)
    assert isinstance(choose(balancer, now=10.6), calls.Choice)
    balancer.apply(changes.BackendChange(SERVERS[0].id, SERVERS[0]), 11.0)
    assert balancer.inventory.drop_expired(11.5) == []
    assert len(balancer.inventory.drop_expired(12.3)) == len(SERVERS) - 1
    assert choose(balancer, now=12.4).state.entry.id == SERVERS[0].id


def test_restart_under_the_same_id_is_another_server() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    state.record_answer("x", 0.2, 0.2, 1.0)
    restarted = builders.build_backend(
        state.entry.id, started_ms=2, cold_s=3.0
    )
    balancer.apply(changes.BackendChange(restarted.id, restarted), 1.0)
    again = balancer.inventory.by_id[restarted.id]
    assert again.is_cold(1.5)
    assert not again.is_warm_for("x", 1.5)
    old = builders.build_backend(state.entry.id, started_ms=1)
    assert not balancer.apply(changes.BackendChange(old.id, old), 2.0)


def test_evacuated_data_centre_gets_nothing_and_is_cold_afterwards() -> None:
    servers = tuple(
        builders.build_backend(f"{c}{n}", data_centre=c)
        for c in ("north-a", "south-a")
        for n in range(2)
    )
    balancer = builders.build_balancer(backends=servers)
    balancer.apply(changes.EvacuationChange("north-a", True), 1.0)
    for number in range(30):
        choice = choose(balancer, str(number), 1.0)
        assert choice.state.entry.data_centre == "south-a"
    balancer.apply(changes.EvacuationChange("north-a", False), 2.0)
    assert choose(balancer, now=2.5).state.entry.data_centre == "south-a"
    places = {
        choose(balancer, str(n), 6.0).state.entry.data_centre
        for n in range(30)
    }
    assert places == {"north-a", "south-a"} or places == {"north-a"}


@pytest.mark.parametrize("hosts", [1, 3, 10])
def test_cold_servers_get_no_more_than_they_tolerate(hosts) -> None:
    """All servers are cold at once and every host sends what it may."""
    names = tuple(f"h{n}" for n in range(hosts))
    cold = tuple(builders.build_backend(f"s{n}", cold_s=3.0) for n in range(4))
    fleet = [
        builders.build_balancer(
            name, backends=cold, peers=tuple(n for n in names if n != name)
        )
        for name in names
    ]
    sent = collections.defaultdict(list)
    for step in range(200):
        now = step / 100
        for number, balancer in enumerate(fleet):
            choice = choose(balancer, f"{step}{number}", now)
            if isinstance(choice, calls.Choice):
                sent[choice.state.entry.id].append(now)
    assert sent
    for times in sent.values():
        most = max(
            sum(1 for other in times if at <= other < at + 1.0) for at in times
        )
        assert most <= 4.5 * 1.5 + 5


def test_split_keeps_its_weights_exactly() -> None:
    route = builders.build_route(
        weighted_services=(
            model.WeightedService("sheets", 90),
            model.WeightedService("orders", 10),
        )
    )
    balancer = builders.build_balancer(
        configuration=builders.build_platform_configuration(route)
    )
    counts = collections.Counter(
        builders.open_call(balancer, str(n)).service for n in range(1000)
    )
    assert counts["orders"] == pytest.approx(100, abs=1)


def test_retries_stay_within_the_budget_of_all_hosts() -> None:
    """Ten hosts whose every request is shed and retried."""
    names = tuple(f"h{n}" for n in range(10))
    fleet = [
        builders.build_balancer(
            name, backends=SERVERS, peers=tuple(n for n in names if n != name)
        )
        for name in names
    ]
    retries, requests = [], []
    for step in range(4000):
        now = step / 100
        balancer = fleet[step % 10]
        builders.open_call(balancer, now=now)
        requests.append(now)
        if balancer.try_retry("sheets"):
            retries.append(now)
        if step % 10 == 0:
            for each in fleet:
                each.refill_budgets(0.1)
    for start in range(30):
        span = [at for at in retries if start <= at < start + 10]
        asked = [at for at in requests if start <= at < start + 10]
        assert len(span) <= 0.2 * len(asked) + 60


# Guards against queues that look a tenth as long as they are to hosts that
# seldom ask a server, which is each host where there are hundreds.
def test_first_answer_does_not_shorten_the_expected_wait() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    state.record_load(state.entry.slots * 3, 0, 0.0)
    before_s = state.estimate_wait(0.0, 0.4)
    state.record_answer("x", 0.4, 0.4, 0.0)
    assert state.estimate_wait(0.0, 0.4) == pytest.approx(before_s)


# Guards against hosts that each ask a busy server every few seconds, have
# forgotten its last report by then, and together overfill it.
def test_server_that_is_busy_at_each_report_stays_busy_between_them() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    for now in (4.0, 8.0, 12.0):
        state.record_load(20, 10, now)
    assert state.estimate_load(15.0) > 0.6 * 30
    assert state.estimate_load(60.0) < 1.0


def test_one_peak_of_load_is_forgotten_soon() -> None:
    balancer = builders.build_balancer(backends=SERVERS)
    state = choose(balancer).state
    for step in range(40):
        state.record_load(2, 0, step * 0.25)
    state.record_load(30, 0, 10.0)
    assert state.estimate_load(10.0) == pytest.approx(30.0)
    assert state.estimate_load(12.5) < 6.0
