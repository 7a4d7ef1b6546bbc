"""Tests of the check of a platform's configuration."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from aiohttp import web
import msgspec
import pytest
from tests import builders

from cowslipshift import clock as clocks
from cowslipshift.console import session
from cowslipshift.platform import names
from cowslipshift.platform import review
from cowslipshift.standins import platformbackend
from cowslipshift.standins import platformfleet
from cowslipshift.standins import platformstore
from cowslipshift.standins import portreservations

if TYPE_CHECKING:
    from collections.abc import Callable

READ, WRITE = platformfleet.READ_SERVICE, platformfleet.WRITE_SERVICE
HOST = f"virtual_hosts[{platformfleet.HOSTNAME}]"
ROUTE = f"{HOST}.paths[read]"
TENANT = f"tenants[{platformfleet.ACCOUNT}]"
SERVICE = f"services[{READ}]"
ERROR, WARNING = "error", "warning"
IN_FORCE = platformfleet.build_config(1)


def build_deployment(servers: int = 2) -> review.Deployment:
    return review.Deployment(
        configuration=IN_FORCE,
        backends=tuple(
            builders.build_backend(
                f"{service}-{region}-{number}",
                service=service,
                data_centre=f"{region}-a",
                slots=100,
            )
            for service in (READ, WRITE)
            for region in ("north", "south")
            for number in range(servers)
        ),
        regions={"north-a": "north", "south-a": "south"},
    )


def edit_sample(edit: Callable[[Any], object]) -> bytes:
    config = msgspec.json.decode(platformfleet.build_config(2))
    edit(config)
    return msgspec.json.encode(config)


def edit_entry(entry: str, **fields: Any) -> bytes:
    def edit(config: Any) -> None:
        sections = {
            ROUTE: config["virtual_hosts"][0]["paths"],
            TENANT: config["tenants"],
            SERVICE: config["services"],
        }
        sections[entry][0].update(fields)

    return edit_sample(edit)


def split(read: float, *write: float) -> dict[str, Any]:
    parts = zip((READ, WRITE), (read, *write), strict=False)
    return {"traffic_split": [{"service": s, "weight": w} for s, w in parts]}


def list_findings(
    raw: bytes, deployment: review.Deployment | None
) -> list[tuple[str, str, str]]:
    found = review.review_configuration(raw, deployment).findings
    return [(f.severity, f.code, f.path) for f in found]


def test_sample_is_clean() -> None:
    assert list_findings(platformfleet.build_config(2), None) == []
    result = review.review_configuration(IN_FORCE, build_deployment())
    assert (result.findings, result.changes) == ((), ())
    assert result.skipped == ()


REGIONS = {"allowed_regions": ["north"]}
NOWHERE = {"allowed_regions": ["east"]}


@pytest.mark.parametrize(
    ("entry", "fields", "severity", "code"),
    [
        (ROUTE, {"prefix": "x/"}, WARNING, "route_unreachable"),
        (ROUTE, split(1, 0), WARNING, "part_unused"),
        (ROUTE, split(0), WARNING, "split_without_weight"),
        (ROUTE, split(1, -1), ERROR, "out_of_range"),
        (ROUTE, {"timeout_ms": 299}, WARNING, "timeout_below_target"),
        (ROUTE, {"timeout_ms": 0}, ERROR, "out_of_range"),
        (ROUTE, {"attempts": 0}, WARNING, "attempts_below_one"),
        (ROUTE, {"attempts": 5}, WARNING, "attempts_above_servers"),
        (ROUTE, REGIONS | {"attempts": 3}, WARNING, "attempts_above_servers"),
        (ROUTE, NOWHERE, WARNING, "regions_without_servers"),
        (ROUTE, {"type": "x"}, ERROR, "platform_entry_malformed"),
        (TENANT, {"rate_per_s": 2667}, WARNING, "quota_above_capacity"),
        (SERVICE, {"max_connections": 99}, WARNING, "connections_below_slots"),
    ],
)
def test_field_has_a_finding(entry, fields, severity, code) -> None:
    found = list_findings(edit_entry(entry, **fields), build_deployment())
    field = list(fields)[-1]
    assert found == [(severity, code, f"{entry}.{field}")]


@pytest.mark.parametrize(
    ("edit", "found"),
    [
        (
            lambda c: c["virtual_hosts"][0]["paths"].append(
                {**c["virtual_hosts"][0]["paths"][0], "name": "copy"}
            ),
            [(WARNING, "route_shadowed", f"{HOST}.paths[copy].prefix")],
        ),
        (
            lambda c: c["services"].append({"name": "idle"}),
            [(WARNING, "service_unused", "services[idle]")],
        ),
        (
            lambda c: c["services"].append(c["services"][0]),
            [(ERROR, "name_repeated", SERVICE)],
        ),
        (
            lambda c: c["tenants"].append(
                {**c["tenants"][0], "name": "other"}
            ),
            [
                (ERROR, "key_repeated", "tenants[other].api_keys"),
                (WARNING, "account_without_key", TENANT),
            ],
        ),
        (
            lambda c: (
                c["tenants"][0].update(allowed_regions=["south"]),
                c["virtual_hosts"][0]["paths"][0].update(REGIONS),
            ),
            [(WARNING, "regions_disjoint", f"{ROUTE}.allowed_regions")],
        ),
        (
            lambda c: c["virtual_hosts"][0]["paths"][0].update(service="x"),
            [
                (ERROR, "reference_unknown", ROUTE),
                (WARNING, "service_unused", SERVICE),
            ],
        ),
        (
            lambda c: c["limits"].update(max_body_bytes="x"),
            [(ERROR, "platform_entry_malformed", "$.limits.max_body_bytes")],
        ),
    ],
)
def test_entries_have_findings(edit, found) -> None:
    assert list_findings(edit_sample(edit), None) == found


def test_findings_about_the_deployment() -> None:
    assert list_findings(IN_FORCE, build_deployment(servers=0)) == [
        (WARNING, "service_without_servers", f"services[{service}]")
        for service in (READ, WRITE)
    ]
    raw = platformfleet.build_config(1, limits={})
    assert list_findings(raw, build_deployment()) == [
        (ERROR, "version_not_newer", "version")
    ]


def test_changes_are_listed_by_entry_without_keys() -> None:
    def edit(config: Any) -> None:
        config["virtual_hosts"][0]["paths"].pop()
        config["virtual_hosts"][0]["paths"][0].update(REGIONS, timeout_ms=900)
        config["tenants"][0].update(api_keys=["secret-1", "secret-2"])
        config["services"].append({"name": "new"})

    deployment = build_deployment()
    assert review.review_configuration(
        edit_sample(edit), deployment
    ).changes == (
        "+ services[new]",
        f"~ {TENANT}: api_keys 2 added and 1 removed",
        f'~ {ROUTE}: timeout_ms 800 -> 900, allowed_regions +"north"',
        f"- {HOST}.paths[write]",
    )


async def test_store_tells_configuration_servers_and_regions() -> None:
    server = platformbackend.PlatformBackendStandIn("s", 3)
    place = ("10.0.0.1:80", READ, "north-a", "v1")
    member = msgspec.json.encode(builders.build_member("h"))
    stand_in = platformstore.PlatformStoreStandIn(clocks.SystemClock())
    for key, value in {
        names.CONFIG_KEY: IN_FORCE,
        names.BACKEND_PREFIX + "s": server.build_entry(*place),
        names.BACKEND_PREFIX + "t": server.build_entry(*place, "draining"),
        names.BACKEND_PREFIX + "malformed": b"x",
        names.MEMBER_PREFIX + "h": member,
    }.items():
        stand_in.put(key, value)
    runner = web.AppRunner(stand_in.build_application(), shutdown_timeout=0.1)
    await runner.setup()
    port = portreservations.reserve_ports(1)[0]
    await web.TCPSite(runner, "127.0.0.1", port).start()
    try:
        found = await session.read_deployment(f"127.0.0.1:{port}")
    finally:
        await runner.cleanup()
    assert found.configuration == IN_FORCE
    assert [backend.id for backend in found.backends or ()] == ["s"]
    assert found.regions == {"north-a": "north"}
