"""Memory and CPU time of a daemon's data structures, by their size."""

from __future__ import annotations

import gc
import time
import tracemalloc
from typing import Any
from typing import TYPE_CHECKING

import msgspec

from bench import scale
from cowslipshift.config import difference
from cowslipshift.config import model
from cowslipshift.coordination import loans
from cowslipshift.coordination import members
from cowslipshift.coordination import outcomes
from cowslipshift.coordination import ownership
from cowslipshift.coordination import shares
from cowslipshift.peers import messages
from cowslipshift.serving.entry import idempotency
from cowslipshift.topology import blocks
from cowslipshift.topology import index as indexes

if TYPE_CHECKING:
    from collections.abc import Callable

BYTES_PER_KB = 1024
BLOCK_SIZES = (2_000, 20_000, 180_000)
SITE_SIZES = (100, 700, 2_100)
OUTCOME_SIZES = (1_000, 5_000, 20_000)
ACCOUNT_SIZES = (10, 100, 1_000)
MEMBER_SIZES = (4, 12, 24)


def measure() -> dict[str, Any]:
    """Measure each data structure at three sizes and fit lines."""
    return {
        "block_table": _measure_structure(BLOCK_SIZES, _build_blocks),
        "configuration_of_sites": _measure_structure(SITE_SIZES, _build_sites),
        "outcomes": _measure_structure(OUTCOME_SIZES, _build_outcomes),
        "account_shares": _measure_structure(ACCOUNT_SIZES, _build_shares),
        "home_table_of_80_servers": _measure_structure(
            MEMBER_SIZES, _build_ownership
        ),
        "change_of_one_key": [_measure_change(n) for n in SITE_SIZES],
        "message_bytes": _measure_messages(),
    }


def _measure_structure(
    sizes: tuple[int, ...], build: Callable[[int], Any]
) -> dict[str, Any]:
    rows = []
    for size in sizes:
        gc.collect()
        started_s = time.process_time()
        built = build(size)
        cpu_ms = (time.process_time() - started_s) * 1000
        del built
        gc.collect()
        tracemalloc.start()
        built = build(size)
        gc.collect()
        memory_kb = tracemalloc.get_traced_memory()[0] / BYTES_PER_KB
        tracemalloc.stop()
        del built
        rows.append(
            {
                "size": size,
                "build_ms": round(cpu_ms, 2),
                "memory_kb": round(memory_kb, 1),
            }
        )
    size_values = [row["size"] for row in rows]
    return {
        "rows": rows,
        "build_ms": scale.fit_line(
            size_values, [row["build_ms"] for row in rows]
        ),
        "memory_kb": scale.fit_line(
            size_values, [row["memory_kb"] for row in rows]
        ),
    }


def _build_blocks(size: int) -> blocks.BlockTable:
    regions = tuple(model.Region(name=f"r{n}") for n in range(53))
    entries = (
        model.Block(
            name=f"{n >> 16}.{n >> 8 & 255}.{n & 255}.0/24",
            region=f"r{n % 53}",
        )
        for n in range(size)
    )
    configuration = _LazyConfiguration(regions, entries)
    return blocks.BlockTable(configuration)  # type: ignore[arg-type]


class _LazyConfiguration:
    """A configuration whose blocks are created as they are read."""

    def __init__(self, regions: Any, entries: Any) -> None:
        self.regions = regions
        self.blocks = entries


def _build_sites(size: int) -> indexes.ConfigurationIndex:
    return indexes.ConfigurationIndex(_build_sites_configuration(size))


def _build_sites_configuration(size: int) -> model.Configuration:
    regions = tuple(model.Region(name=f"r{n}") for n in range(53))
    centres = tuple(
        model.DataCentre(name=f"dc{n}", region=f"r{n % 53}")
        for n in range(131)
    )
    hosts = tuple(
        model.Host(
            name=f"h{n}",
            data_centre=f"dc{n % 131}",
            url=f"http://10.0.{n >> 8}.{n & 255}:80",
            peer=f"10.0.{n >> 8}.{n & 255}:81",
        )
        for n in range(size * 3100 // 2100)
    )
    servers = tuple(
        model.Server(
            name=f"s{n}",
            service="x",
            data_centre=f"dc{n % 131}",
            url=f"http://10.9.{n >> 8}.{n & 255}:80",
            slots=8,
        )
        for n in range(size)
    )
    service = model.Service(name="x", routes=(model.Route(name="/"),))
    return model.Configuration(
        revision=1,
        regions=regions,
        data_centres=centres,
        hosts=hosts,
        servers=servers,
        services=(service,),
    )


def _build_outcomes(size: int) -> outcomes.OutcomeTable:
    table = outcomes.OutcomeTable(0.0)
    answer = outcomes.RecordedAnswer(
        200, [("Content-Type", "text/plain")], b"x" * 64
    )
    now = 1e9
    for _ in range(size):
        key = outcomes.parse_key(idempotency.make_key(wall_s=now))
        assert key is not None
        table.start("account", key, 1, now)
        table.finish("account", key.text, answer, now)
    return table


def _build_shares(size: int) -> list[shares.QuotaShare]:
    built = []
    for number in range(size):
        share = shares.QuotaShare(f"account-{number}", 0.0)
        share.set_base(loans.Quota(10.0, 10.0), 0.0)
        for borrower in range(8):
            request = loans.LoanRequest(
                f"a{number}", 1, loans.NO_QUOTA, 1.0, 1.0
            )
            share.lend(f"h{borrower}", request, 0.0)
        built.append(share)
    return built


def _build_ownership(size: int) -> ownership.OwnershipTable:
    view = members.MembershipView("h0", 1, 0.0)
    view.add_configured([f"h{n}" for n in range(size)], 0.0)
    table = ownership.OwnershipTable(view, True)
    table.set_resources({f"server:s{n}": 5.0 for n in range(80)}, 0.0)
    return table


def _measure_change(sites: int) -> dict[str, float]:
    """Measure the CPU time and bytes of a change of one API key."""
    old = _build_sites_configuration(sites)
    key = model.Key(id="k", account="a", digest="0" * 64)
    new = msgspec.structs.replace(
        old,
        revision=2,
        accounts=(model.Account(name="a", rate=1.0, burst=1.0),),
        keys=(key,),
    )
    started_s = time.process_time()
    change = difference.compute_difference(old, new)
    difference_s = time.process_time()
    difference.apply_difference(old, change)
    applied_s = time.process_time()
    indexes.ConfigurationIndex(new)
    built_s = time.process_time()
    return {
        "sites": sites,
        "document_bytes": len(msgspec.json.encode(new)),
        "difference_bytes": len(msgspec.json.encode(change)),
        "find_ms": round((difference_s - started_s) * 1000, 1),
        "apply_ms": round((applied_s - difference_s) * 1000, 1),
        "build_ms": round((built_s - applied_s) * 1000, 1),
    }


def _measure_messages() -> dict[str, int]:
    load = messages.ServiceLoad("catalogue", 40, 7, 0)
    heartbeat = messages.Heartbeat(
        host="medellin-1",
        incarnation=1796365792134,
        sequence=1000,
        acknowledged_sequence=999,
        recognised_incarnation=1796365792134,
        leaving=False,
        revision=17,
        fact_digest=1 << 63,
        loads=[load] * 3,
    )
    request = loans.LoanRequest("grande-1", 1, loans.Quota(1.0, 1.0), 1.0, 1.0)
    grant = loans.LoanGrant("grande-1", 1, loans.Quota(1.0, 1.0), 1.0, 4.0)
    evidence = messages.Evidence("m", "medellin-1", 1, [1] * 69, "/")
    return {
        name: len(messages.encode_message(message))
        for name, message in {
            "heartbeat_of_3_services": heartbeat,
            "one_want": messages.LoanRequests([request]),
            "eight_wants": messages.LoanRequests([request] * 8),
            "one_grant": messages.LoanGrants([grant]),
            "one_evidence": messages.EvidenceReport([evidence]),
        }.items()
    }
