"""What the decisions on a platform cost, by size."""

from __future__ import annotations

import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

from tests import builders

from cowslipshift.edge import messages
from cowslipshift.edge import replica as replicas
from cowslipshift.platform import translation
from cowslipshift.standins import platformbackend
from cowslipshift.steering import balancer as balancers
from cowslipshift.steering import limiters
from cowslipshift.store import interface

if TYPE_CHECKING:
    from collections.abc import Callable

SERVERS = (12, 120, 1200)
HOSTS = (10, 85, 3100)
ACCOUNTS = (8, 72, 720)
ROUNDS = 300


async def measure() -> dict[str, Any]:
    """Return processor time, bytes and memory of each mechanism."""
    return {
        "choose a server, known object, us": {
            count: _time_choice(count, is_known=True) for count in SERVERS
        },
        "choose a server, new object, us": {
            count: _time_choice(count, is_known=False) for count in SERVERS
        },
        "admit a request of an account, us by hosts": {
            count: _time_admission(count) for count in HOSTS
        },
        "word, bytes by accounts with news": {
            count: len(_encode_heartbeat(count)) for count in ACCOUNTS
        },
        "write and read a word, us by accounts with news": {
            count: _time(
                lambda count=count: messages.decode_heartbeat(
                    _encode_heartbeat(count)
                )
            )
            for count in ACCOUNTS
        },
        "view and server, bytes by servers": {
            count: _measure_replica(count) for count in SERVERS
        },
    }


def _time(act: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(ROUNDS):
        act()
    return round((time.process_time() - started_s) / ROUNDS * 1e6, 1)


def _build_balancer(servers: int) -> balancers.Balancer:
    places = list(builders.REGIONS)
    return builders.build_balancer(
        backends=tuple(
            builders.build_backend(
                f"s{number}", data_centre=places[number % len(places)]
            )
            for number in range(servers)
        )
    )


def _time_choice(servers: int, is_known: bool) -> float:
    balancer = _build_balancer(servers)
    numbers = iter(range(10**9))

    def choose() -> None:
        thing = "x" if is_known else str(next(numbers))
        balancer.choose_backend(builders.open_call(balancer, thing), 0.0)

    choose()
    return _time(choose)


def _time_admission(hosts: int) -> float:
    balancer = builders.build_balancer()
    names = {f"h{number}" for number in range(hosts - 1)}
    usage = limiters.Usage(builders.ACCOUNT, 3, 1.0)
    for name in names:
        balancer.accounts.record_reports(name, [usage], 0.0)
    limiter = balancer.accounts.find_limiter(builders.ACCOUNT)
    assert limiter is not None

    def admit() -> None:
        liveness = balancer.accounts.assess_peers(0.1, names)
        limiter.try_admit(0.1, liveness)

    return _time(admit)


def _encode_heartbeat(count: int) -> bytes:
    usages = [
        limiters.Usage(f"acc{number:04}", number, 2.5)
        for number in range(count)
    ]
    return messages.encode_heartbeat(
        messages.Heartbeat(
            host="edge-andina-a-1",
            incarnation=1_786_082_332_679,
            revision=12_345,
            is_leaving=False,
            is_store_reachable=True,
            usages=usages,
            reports=[],
        )
    )


def _measure_replica(servers: int) -> int:
    stand_in = platformbackend.PlatformBackendStandIn("s", 5)
    items = [
        interface.Item(
            f"servers/i-{number:08x}",
            stand_in.build_entry(f"10.0.{number}:80", "sheets", "north-a"),
            number + 1,
        )
        for number in range(servers)
    ]
    balancer = builders.build_balancer()
    tracemalloc.start()
    replica = replicas.StoreReplica()
    for item in replica.apply_snapshot(items, servers):
        change = translation.translate_item(item)
        assert change is not None
        balancer.apply(change, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size
