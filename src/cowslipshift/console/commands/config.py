"""The command ``cowslipshift config``, for the whole configuration."""

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
    """Check, show, store and compare the configuration."""

    def check(self, file: str, json: bool = False) -> None:
        """Check a configuration file without using the store.

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
            store: Base URLs of the store, separated by commas.
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
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            base: Revision that the file was made from; the command fails if
                the store has another one.
            json: Print JSON.
        """
        new = read_file(file)
        edit = edits.replace_document(new)
        asyncio.run(apply_edit(edit, reason, store, author, json, base))

    def compare(
        self, file: str, store: str | None = None, json: bool = False
    ) -> None:
        """List the changes that a file would make.

        Args:
            file: Path of the file, or - for standard input.
            store: Base URLs of the store, separated by commas.
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

        The exit status is 0 if it is, and 1 if it is not after the timeout.

        Args:
            revision: The configuration revision.
            host: Base URL of any host.
            timeout_s: Seconds to wait.
            json: Print JSON.
        """
        pending_hosts = asyncio.run(
            fleetstatus.wait_for_revision(
                session.resolve_host_url(host), revision, timeout_s
            )
        )
        if pending_hosts:
            text = f"revision {revision} is not in force on: "
            lines = [text + ", ".join(pending_hosts)]
        else:
            lines = [f"revision {revision} is in force on all hosts"]
        output.print_result({"lacking": pending_hosts}, lines, json)
        if pending_hosts:
            sys.exit(1)


def read_file(file: str) -> model.Configuration:
    """Read and check a configuration file.

    Args:
        file: Path of the file, or ``-`` for standard input.

    Raises:
        UsageError: The file cannot be read.
        ConfigurationError: Its content is invalid.
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
    """Apply an edit to the stored configuration and print the new revision.

    Args:
        edit: Returns the changed configuration.
        reason: Reason for the change, shown to other operators.
        store: Base URLs of the store, separated by commas, or ``None``.
        author: Name of the operator, or ``None``.
        as_json: Whether to print JSON instead of text.
        base: Revision that the edit was made for; the change fails if the
            store has another one.

    Returns:
        The configuration that is stored now.

    Raises:
        UsageError: No store is given.
        StoreError: The store did not answer.
        ConfigurationError: The change conflicts with another one, its result
            is invalid, or the store was lost before it confirmed the write.
    """
    async with session.open_editor(store, author) as editor:
        new = await editor.change(reason, time.time(), edit, base)
    output.print_result(
        {"revision": new.revision, "change": new.change},
        [f"stored as revision {new.revision}"],
        as_json,
    )
    return new
