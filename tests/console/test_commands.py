"""Tests of the command line, run as a program against a stand-in store."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from cowslipshift.standins import platformfleet

if TYPE_CHECKING:
    from collections.abc import Iterator

EXAMPLE = "docs/examples/small.json"


@pytest.fixture
def store() -> Iterator[str]:
    process = subprocess.Popen(
        [sys.executable, "-m", "cowslipshift.console.application"]
        + ["standin", "store"],
        stdout=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    port = process.stdout.readline().rpartition(":")[2].strip()
    yield f"http://127.0.0.1:{port}"
    process.terminate()
    process.wait()


def run(store: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cowslipshift.console.application"]
    environment = {
        "COWSLIPSHIFT_STORE": store,
        "COWSLIPSHIFT_AUTHOR": "ana",
        "PATH": "/usr/bin:/bin",
    }
    return subprocess.run(
        command + list(arguments),
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


def test_operator_stores_changes_and_compares_the_configuration(
    store: str,
) -> None:
    stored = run(store, "config", "put", EXAMPLE, "--reason", "first day")
    assert stored.stdout == "stored as revision 1\n"
    conflicting = run(
        store, "config", "put", EXAMPLE, "--reason", "late", "--base", "0"
    )
    assert conflicting.returncode == 1
    assert "config_conflict" in conflicting.stderr
    assert "ana (first day)" in conflicting.stderr
    added = run(
        store, "account", "add", "workshop", "--rate=50", "--burst=100"
    )
    assert added.returncode == 0, added.stderr
    created = run(store, "key", "give", "workshop", "--json")
    key = json.loads(created.stdout)
    shown = run(store, "config", "show").stdout
    assert key["key"] not in shown
    assert key["id"] in shown
    withdrawn = run(store, "key", "withdraw", key["id"], "--reason", "lost")
    assert withdrawn.returncode == 0, withdrawn.stderr
    listed = json.loads(run(store, "key", "list", "--json").stdout)
    assert [entry["state"] for entry in listed] == ["withdrawn"]
    compared = run(store, "config", "compare", EXAMPLE)
    assert "- accounts[workshop]" in compared.stdout


def test_exceptions_require_a_reason_and_list_their_author(store: str) -> None:
    run(store, "config", "put", EXAMPLE, "--reason", "first day")
    without_reason = run(
        store, "exception", "add", "cold_ramp_s", "3", "--reason", " "
    )
    assert without_reason.returncode == 1
    assert "a reason is needed" in without_reason.stderr
    added = run(
        store,
        "exception",
        "add",
        "cold_ramp_s",
        "3",
        "--reason=slow disk",
        "--service=sheets",
        "--for_s=600",
        "--json",
    )
    exception_id = json.loads(added.stdout)["id"]
    table = run(store, "exception", "list").stdout
    assert "service=sheets" in table
    assert "in force" in table
    assert "ana" in table
    removed = run(
        store, "exception", "remove", exception_id, "--reason=mended"
    )
    assert removed.returncode == 0


def test_invalid_input_prints_an_error_code_and_no_traceback(
    store: str, tmp_path: pathlib.Path
) -> None:
    invalid_file = tmp_path / "broken.json"
    invalid_file.write_text('{"servers": [{"name": 7}]}')
    for arguments, code in [
        (["config", "check", str(invalid_file)], "config_invalid"),
        (["config", "check", "/nowhere.json"], "usage"),
        (["default", "set", "nope", "1", "--reason=x"], "config_no_entry"),
        (["key", "withdraw", "nope", "--reason=x"], "config_no_entry"),
        (["lookup", "sheets"], "usage"),
        (["lookup", "sheets", "--host=http://127.0.0.1:1"], "unreachable"),
    ]:
        result = run(store, *arguments)
        assert result.returncode == 1, arguments
        assert code in result.stderr
        assert "Traceback" not in result.stderr
    unreachable = run("http://127.0.0.1:1", "config", "show")
    assert "store_unavailable" in unreachable.stderr


def test_check_tells_what_it_found_by_its_exit_status(
    store: str, tmp_path: pathlib.Path
) -> None:
    assert run(store, "config", "check", EXAMPLE).returncode == 0
    run(store, "config", "put", EXAMPLE, "--reason", "first day")
    file = tmp_path / "changed.json"
    text = pathlib.Path(EXAMPLE).read_text()
    file.write_text(text.replace('"active"', '"leaving"'))
    command = ["config", "check", str(file), "--against"]
    for against in (store, EXAMPLE):
        warned = run(store, *command, against)
        assert warned.returncode == 3, warned.stderr
        assert "[service_without_servers]" in warned.stdout
        assert '~ servers[sheets-1]: state "active"' in warned.stdout
    file.write_text(text.replace('"slots": 4', '"slots": 0'))
    invalid = run(store, *command, EXAMPLE, "--json")
    assert (invalid.returncode, invalid.stderr[:30]) == (
        1,
        "cowslipshift: [config_invalid]",
    )
    (finding,) = json.loads(invalid.stdout)["findings"]
    assert finding["path"] == "servers[sheets-1].slots"
    file.write_bytes(platformfleet.build_config(2))
    assert run(store, *command, str(file)).returncode == 0
    assert "store_unavailable" in run(store, *command, "127.0.0.1:1").stderr
