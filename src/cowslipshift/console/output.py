"""Printing for people and for programs."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from cowslipshift import exceptions


def print_result(value: Any, lines: list[str], as_json: bool) -> None:
    """Print a result.

    Args:
        value: What programs get, as JSON.
        lines: What people get.
        as_json: Which of the two to print.
    """
    if as_json:
        raw = msgspec.json.encode(value)
        print(msgspec.json.format(raw, indent=2).decode())
        return
    for line in lines:
        print(line)


def print_error(error: exceptions.CowslipshiftError) -> None:
    """Print an error as one sentence with its code."""
    print(f"cowslipshift: {error}", file=sys.stderr)


def format_table(rows: list[list[str]]) -> list[str]:
    """Align the columns of a table."""
    if not rows:
        return []
    widths = [
        max(len(row[column]) for row in rows) for column in range(len(rows[0]))
    ]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
