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
from cowslipshift.config import exceptions
from cowslipshift.config import review
from cowslipshift.console import fleetstatus
from cowslipshift.console import output
from cowslipshift.console import session
from cowslipshift.platform import review as platform_review

if TYPE_CHECKING:
    from cowslipshift.config import findings
    from cowslipshift.config import model

WARNING_EXIT_STATUS = 3


class ConfigCommand:
    """Check, show, store and compare the configuration."""

    def check(
        self, file: str, against: str | None = None, json: bool = False
    ) -> None:
        """Check a configuration file before it is sent.

        The exit status is 0 if nothing was found, 3 if there are warnings,
        and 1 if there are errors or the check could not be made. Nothing is
        written.

        Args:
            file: Path of the file, or - for standard input; a configuration
                of the own format or of a platform.
            against: What to compare it with: another file, or the address of
                the store (ip:port, or base URLs separated by commas).
            json: Print JSON.
        """
        result = review_file(file, against)
        errors = result.count("error")
        warnings = result.count("warning")
        lines = [str(finding) for finding in result.findings]
        if result.changes is not None:
            lines += result.changes or ("no difference",)
        lines += [f"not checked: {skipped}" for skipped in result.skipped]
        if not errors:
            suffix = f", warnings: {warnings}" if warnings else ""
            lines.append(f"{file} is valid{suffix}")
        value = {"valid": not errors, **msgspec.structs.asdict(result)}
        output.print_result(value, lines, json)
        if errors:
            raise exceptions.ConfigurationError(f"{file} has errors: {errors}")
        if warnings:
            sys.exit(WARNING_EXIT_STATUS)

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
    return document.decode_document(_read_bytes(file))


def review_file(file: str, against: str | None) -> findings.Review:
    """Check a configuration file of either form.

    Args:
        file: Path of the file, or ``-`` for standard input.
        against: Path of another file of the same form, address of the store,
            or ``None``.

    Raises:
        UsageError: A file cannot be read.
        StoreError: The store did not answer.
        ConfigurationError: The configuration to compare with is invalid.
        MalformedEntryError: The same, on a platform.
    """
    raw = _read_bytes(file)
    is_store = against is not None and _is_store(against)
    if platform_review.is_platform_configuration(raw):
        deployment = None
        if against is not None and is_store:
            deployment = asyncio.run(session.read_deployment(against))
        elif against is not None:
            deployment = platform_review.Deployment(
                configuration=_read_bytes(against)
            )
        return platform_review.review_configuration(raw, deployment)
    in_force = None
    if against is not None and is_store:
        in_force = asyncio.run(session.read_configuration(against))
    elif against is not None:
        in_force = read_file(against)
    return review.review_document(raw, in_force, time.time())


def _is_store(against: str) -> bool:
    return ":" in against and not pathlib.Path(against).exists()


def _read_bytes(file: str) -> bytes:
    try:
        if file == "-":
            return sys.stdin.buffer.read()
        return pathlib.Path(file).read_bytes()
    except OSError as error:
        raise session.UsageError(f"cannot read {file}: {error}") from error


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
