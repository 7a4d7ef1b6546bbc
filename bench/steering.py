"""Cost of the decisions of a host on a platform, by size."""

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

SERVER_COUNTS = (12, 120, 1200)
HOST_COUNTS = (10, 85, 3100)
ACCOUNT_COUNTS = (8, 72, 720)
ROUND_COUNT = 300


async def measure() -> dict[str, Any]:
    """Return CPU time, message size and memory of each mechanism."""
    return {
        "choose a server, known object, us": {
            count: _time_choice(count, is_known=True)
            for count in SERVER_COUNTS
        },
        "choose a server, new object, us": {
            count: _time_choice(count, is_known=False)
            for count in SERVER_COUNTS
        },
        "admit a request of an account, us by hosts": {
            count: _time_admission(count) for count in HOST_COUNTS
        },
        "word, bytes by accounts with news": {
            count: len(_encode_heartbeat(count)) for count in ACCOUNT_COUNTS
        },
        "write and read a word, us by accounts with news": {
            count: _time(
                lambda count=count: messages.decode_heartbeat(
                    _encode_heartbeat(count)
                )
            )
            for count in ACCOUNT_COUNTS
        },
        "view and server, bytes by servers": {
            count: _measure_replica(count) for count in SERVER_COUNTS
        },
    }


def _time(action: Callable[[], object]) -> float:
    started_s = time.process_time()
    for _ in range(ROUND_COUNT):
        action()
    return round((time.process_time() - started_s) / ROUND_COUNT * 1e6, 1)


def _build_balancer(servers: int) -> balancers.Balancer:
    data_centres = list(builders.REGIONS)
    return builders.build_balancer(
        backends=tuple(
            builders.build_backend(
                f"s{number}",
                data_centre=data_centres[number % len(data_centres)],
            )
            for number in range(servers)
        )
    )


def _time_choice(servers: int, is_known: bool) -> float:
    balancer = _build_balancer(servers)
    numbers = iter(range(10**9))

    def choose() -> None:
        affinity_key = "x" if is_known else str(next(numbers))
        balancer.choose_backend(
            builders.open_call(balancer, affinity_key), 0.0
        )

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
