"""The cause of a failed request is found from its id and the logs alone."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import Any

import msgspec
from tests.edge import daemons

from cowslipshift.platform import names
from cowslipshift.standins import platformfleet

WRITE = platformfleet.WRITE_PATH


def explain(*arguments: str) -> tuple[int, Any]:
    done = subprocess.run(
        [sys.executable, "-m", "cowslipshift.console.application"]
        + ["explain", *arguments, "--json"],
        capture_output=True,
        check=False,
    )
    found = msgspec.json.decode(done.stdout) if done.stdout else None
    return done.returncode, found


async def test_logs_explain_three_kinds_of_failure(tmp_path) -> None:
    fleet = platformfleet.PlatformFleet(hosts=0, backends=1)
    async with fleet:
        config = msgspec.json.decode(platformfleet.build_config(2))
        config["tenants"][0] |= {"rate_per_s": 4, "burst": 4}
        fleet.store.put(names.CONFIG_KEY, msgspec.json.encode(config))
        hosts = [daemons.Daemon(fleet) for _ in range(2)]
        for number, centre in enumerate(platformfleet.REGIONS_BY_DATA_CENTRE):
            await hosts[number].start(tmp_path, f"host-{number}", centre)
        for host in hosts:
            await host.wait_ready()
        ids = await make_failures(fleet, hosts)
        for host in hosts:
            assert await host.stop() == 0
    logs = [str(host.log) for host in hosts]
    found = {kind: explain(number, *logs) for kind, number in ids.items()}
    status, unknown = found["unknown"]
    assert status == 0
    assert unknown["kind"] == "outcome_unknown"
    assert "orders-" in unknown["cause"]
    assert "no answer in time" in unknown["cause"]
    status, late = found["late"]
    assert status == 0
    assert late["kind"] == "late"
    assert "had not seen the server handle the object" in late["cause"]
    status, limited = found["limited"]
    assert status == 0
    assert limited["kind"] == "account_rate"
    assert "workshop" in limited["cause"]
    assert explain("never-sent", *logs) == (3, None)
    assert explain("x", str(tmp_path / "absent"))[0] == 1
    text = "".join(host.log.read_text() for host in hosts)
    assert platformfleet.API_KEY not in text
    for event in ("started", "leaving", "stopped", "plan_changed"):
        assert f"event={event}" in text


async def make_failures(
    fleet: platformfleet.PlatformFleet, hosts: list[daemons.Daemon]
) -> dict[str, str]:
    """Cause one failure of each kind; return the ids of the requests."""
    for backend in fleet.backends.values():
        backend.behaviour.service_s = 0.4
    await fleet.send_request(
        public_address=hosts[0].front, request_id="was-late", affinity_key="z"
    )
    for backend in fleet.backends.values():
        backend.behaviour.silent = True
    status, _, _ = await fleet.send_request(
        WRITE + "1",
        public_address=hosts[1].front,
        request_id="was-unknown",
        method="POST",
        body=b"x",
    )
    assert status == 504
    for backend in fleet.backends.values():
        backend.behaviour.silent = False
        backend.behaviour.service_s = 0.01
    for number in range(200):
        status, _, _ = await fleet.send_request(
            public_address=hosts[number % 2].front, request_id=f"hot-{number}"
        )
        if status == 429:
            return {
                "late": "was-late",
                "unknown": "was-unknown",
                "limited": f"hot-{number}",
            }
        await asyncio.sleep(0.005)
    raise AssertionError("the account was never limited")


async def test_sighup_reloads_and_reports_a_truncated_settings_file(
    tmp_path,
) -> None:
    fleet = platformfleet.PlatformFleet(hosts=0, backends=1)
    async with fleet:
        host = daemons.Daemon(fleet)
        await host.start(tmp_path, "host-0", "north-a")
        await host.wait_ready()
        path = tmp_path / "host-0.toml"
        text = path.read_text()
        host.process.send_signal(daemons.signal.SIGHUP)
        await platformfleet.wait_until(
            lambda: "event=reloaded" in host.log.read_text()
        )
        path.write_text(text[: len(text) // 2])
        host.process.send_signal(daemons.signal.SIGHUP)
        await platformfleet.wait_until(
            lambda: "code=platform_settings_invalid" in host.log.read_text()
        )
        assert (await fleet.send_request(public_address=host.front))[0] == 200
        assert await host.stop() == 0
        (tmp_path / "host-1.toml").write_text(text[:40])
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "cowslipshift.edge.main"],
            env={
                **daemons.os.environ,
                "COWSLIPSHIFT_SETTINGS": str(tmp_path / "host-1.toml"),
            },
            capture_output=True,
            check=False,
        )
        assert done.returncode == 2
        assert b"platform_settings_invalid" in done.stderr
