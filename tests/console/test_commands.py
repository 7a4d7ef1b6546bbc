"""The command line as an operator uses it, against the stand-in store."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterator
    import pathlib

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


def run(store: str, *words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "cowslipshift.console.application"]
    environment = {
        "COWSLIPSHIFT_STORE": store,
        "COWSLIPSHIFT_AUTHOR": "ana",
        "PATH": "/usr/bin:/bin",
    }
    return subprocess.run(
        command + list(words),
        capture_output=True,
        text=True,
        env=environment,
        timeout=60,
    )


def test_operator_puts_changes_and_compares(store: str) -> None:
    put = run(store, "config", "put", EXAMPLE, "--reason", "first day")
    assert put.stdout == "stored as revision 1\n"
    again = run(
        store, "config", "put", EXAMPLE, "--reason", "late", "--base", "0"
    )
    assert again.returncode == 1
    assert "config_conflict" in again.stderr
    assert "ana (first day)" in again.stderr
    added = run(
        store, "account", "add", "workshop", "--rate=50", "--burst=100"
    )
    assert added.returncode == 0, added.stderr
    given = run(store, "key", "give", "workshop", "--json")
    key = json.loads(given.stdout)
    shown = run(store, "config", "show").stdout
    assert key["key"] not in shown
    assert key["id"] in shown
    gone = run(store, "key", "withdraw", key["id"], "--reason", "lost")
    assert gone.returncode == 0, gone.stderr
    listed = json.loads(run(store, "key", "list", "--json").stdout)
    assert [entry["state"] for entry in listed] == ["withdrawn"]
    compared = run(store, "config", "compare", EXAMPLE)
    assert "- accounts[workshop]" in compared.stdout


def test_exceptions_need_a_reason_and_show_who_made_them(store: str) -> None:
    run(store, "config", "put", EXAMPLE, "--reason", "first day")
    bare = run(store, "exception", "add", "cold_ramp_s", "3", "--reason", " ")
    assert bare.returncode == 1
    assert "a reason is needed" in bare.stderr
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
    name = json.loads(added.stdout)["id"]
    table = run(store, "exception", "list").stdout
    assert "service=sheets" in table
    assert "in force" in table
    assert "ana" in table
    removed = run(store, "exception", "remove", name, "--reason=mended")
    assert removed.returncode == 0


def test_bad_input_is_one_sentence_with_a_code(
    store: str, tmp_path: pathlib.Path
) -> None:
    broken = tmp_path / "broken.json"
    broken.write_text('{"servers": [{"name": 7}]}')
    for words, code in [
        (["config", "check", str(broken)], "config_invalid"),
        (["config", "check", "/nowhere.json"], "usage"),
        (["default", "set", "nope", "1", "--reason=x"], "config_no_entry"),
        (["key", "withdraw", "nope", "--reason=x"], "config_no_entry"),
        (["lookup", "sheets"], "usage"),
        (["lookup", "sheets", "--host=http://127.0.0.1:1"], "unreachable"),
    ]:
        answer = run(store, *words)
        assert answer.returncode == 1, words
        assert code in answer.stderr
        assert "Traceback" not in answer.stderr
    away = run("http://127.0.0.1:1", "config", "show")
    assert "store_unavailable" in away.stderr
