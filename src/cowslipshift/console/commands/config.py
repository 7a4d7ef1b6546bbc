"""``cowslipshift config``: the whole configuration."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import difference
from cowslipshift.config import document
from cowslipshift.config import edits
from cowslipshift.console import fleetstatus
from cowslipshift.console import output
from cowslipshift.console import session

if TYPE_CHECKING:
    from cowslipshift.config import model


class ConfigCommand:
    """Check, show, put and compare the configuration."""

    def check(self, file: str, json: bool = False) -> None:
        """Check a configuration file without touching the store.

        Args:
            file: Path of the file, or - for standard input.
            json: Print JSON.
        """
        configuration = read_file(file)
        output.print_result(
            {"valid": True, "revision": configuration.revision},
            [f"{file} is valid"],
            json,
        )

    def show(self, store: str | None = None) -> None:
        """Print the stored configuration as JSON.

        Args:
            store: Base URLs of the store.
        """
        configuration = asyncio.run(session.read_configuration(store))
        raw = document.encode_document(configuration)
        print(msgspec.json.format(raw, indent=2).decode())

    def put(
        self,
        file: str,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        base: int | None = None,
        json: bool = False,
    ) -> None:
        """Store a configuration file as the next revision.

        Args:
            file: Path of the file, or - for standard input.
            reason: Why, for other operators.
            store: Base URLs of the store.
            author: The operator.
            base: Revision that the file was made from; another one in the
                store is refused.
            json: Print JSON.
        """
        new = read_file(file)
        edit = edits.replace_document(new)
        asyncio.run(apply_edit(edit, reason, store, author, json, base))

    def compare(
        self, file: str, store: str | None = None, json: bool = False
    ) -> None:
        """List what a file would change.

        Args:
            file: Path of the file, or - for standard input.
            store: Base URLs of the store.
            json: Print JSON.
        """
        changes = difference.list_changes(
            asyncio.run(session.read_configuration(store)), read_file(file)
        )
        output.print_result(changes, changes or ["no difference"], json)

    def wait(
        self,
        revision: int,
        host: str | None = None,
        timeout_s: float = 10.0,
        json: bool = False,
    ) -> None:
        """Wait until a revision is in force on all hosts.

        Args:
            revision: The revision.
            host: Base URL of any host.
            timeout_s: How long to wait.
            json: Print JSON.
        """
        lacking = asyncio.run(
            fleetstatus.wait_for_revision(
                session.resolve_host_url(host), revision, timeout_s
            )
        )
        if lacking:
            text = f"revision {revision} is not in force on: "
            lines = [text + ", ".join(lacking)]
        else:
            lines = [f"revision {revision} is in force everywhere"]
        output.print_result({"lacking": lacking}, lines, json)
        if lacking:
            sys.exit(1)


def read_file(file: str) -> model.Configuration:
    """Read and check a configuration file.

    Raises:
        UsageError: The file cannot be read.
        ConfigurationError: Its content cannot be used.
    """
    try:
        if file == "-":
            raw = sys.stdin.buffer.read()
        else:
            raw = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise session.UsageError(f"cannot read {file}: {error}") from error
    return document.decode_document(raw)


async def apply_edit(
    edit: edits.Edit,
    reason: str,
    store: str | None,
    author: str | None,
    as_json: bool,
    base: int | None = None,
) -> model.Configuration:
    """Make one change and print the revision that it became."""
    async with session.open_editor(store, author) as editor:
        new = await editor.change(reason, time.time(), edit, base)
    output.print_result(
        {"revision": new.revision, "change": new.change},
        [f"stored as revision {new.revision}"],
        as_json,
    )
    return new
