"""The examples run and print the expected output."""

from __future__ import annotations

import pathlib
import runpy
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from syrupy.assertion import SnapshotAssertion

EXAMPLES = sorted(pathlib.Path("examples").glob("*.py"))


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_runs(
    path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    runpy.run_path(str(path), run_name="__main__")
    assert capsys.readouterr().out == snapshot
