"""Output of the commands as text or as JSON."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from cowslipshift import exceptions


def print_result(value: Any, lines: list[str], as_json: bool) -> None:
    """Print the result of a command.

    Args:
        value: The result, to be encoded as JSON.
        lines: The result as lines of text.
        as_json: Whether to print JSON instead of text.
    """
    if as_json:
        raw = msgspec.json.encode(value)
        print(msgspec.json.format(raw, indent=2).decode())
        return
    for line in lines:
        print(line)


def print_error(error: exceptions.CowslipshiftError) -> None:
    """Print an error with its code to standard error."""
    print(f"cowslipshift: {error}", file=sys.stderr)


def format_table(rows: list[list[str]]) -> list[str]:
    """Format rows of cells as lines with aligned columns.

    Args:
        rows: Rows with the same number of cells each.
    """
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
