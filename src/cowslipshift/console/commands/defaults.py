"""The commands ``cowslipshift default`` and ``cowslipshift exception``."""

from __future__ import annotations

import asyncio
import time
import uuid

import msgspec

from cowslipshift.config import edits
from cowslipshift.config import model
from cowslipshift.config import resolution
from cowslipshift.console import output
from cowslipshift.console import session
from cowslipshift.console.commands import config
from cowslipshift.console.commands import entries


class DefaultCommand:
    """Set and list the fleet-wide default values of settings."""

    def set(
        self,
        setting: str,
        value: float,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Set a default.

        Args:
            setting: Name of the setting.
            value: New default value.
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        edit = edits.set_default(setting, value)
        asyncio.run(config.apply_edit(edit, reason, store, author, json))

    def list(self, store: str | None = None, json: bool = False) -> None:
        """List the defaults.

        Args:
            store: Base URLs of the store, separated by commas.
            json: Print JSON.
        """
        defaults = msgspec.to_builtins(
            asyncio.run(session.read_configuration(store)).defaults
        )
        rows = [[name, str(value)] for name, value in defaults.items()]
        output.print_result(defaults, output.format_table(rows), json)


class ExceptionCommand(entries.RemovableEntries):
    """Add, list and remove exceptions to the defaults."""

    _section = "exceptions"

    def add(
        self,
        setting: str,
        value: float,
        reason: str,
        service: str | None = None,
        region: str | None = None,
        account: str | None = None,
        server: str | None = None,
        version: str | None = None,
        for_s: float | None = None,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Add an exception; it prints the exception's id.

        Args:
            setting: Name of the setting whose default is overridden.
            value: The value that applies instead.
            reason: Reason for the exception; it must not be blank.
            service: Only for this service.
            region: Only for this region.
            account: Only for this client account.
            server: Only for this backend server.
            version: Only for this version.
            for_s: Seconds until the exception expires; unlimited if left out.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        asyncio.run(
            _add_override(
                setting,
                float(value),
                reason,
                model.Scope(
                    service=service,
                    region=region,
                    account=account,
                    server=server,
                    version=None if version is None else str(version),
                ),
                for_s,
                store,
                author,
                json,
            )
        )

    def list(self, store: str | None = None, json: bool = False) -> None:
        """List all exceptions and whether each is in force.

        Args:
            store: Base URLs of the store, separated by commas.
            json: Print JSON.
        """
        now = time.time()
        entries = asyncio.run(session.read_configuration(store)).exceptions
        rows = [["ID", "SETTING", "VALUE", "SCOPE", "STATE", "BY", "REASON"]]
        for entry in entries:
            in_force = resolution.is_in_force(entry, now)
            rows.append(
                [
                    entry.id,
                    entry.setting,
                    f"{entry.value:g}",
                    _format_scope(entry.scope),
                    "in force" if in_force else "not in force",
                    entry.author,
                    entry.reason,
                ]
            )
        output.print_result(entries, output.format_table(rows), json)


async def _add_override(
    setting: str,
    value: float,
    reason: str,
    scope: model.Scope,
    for_s: float | None,
    store: str | None,
    author: str | None,
    as_json: bool,
) -> None:
    now_ms = int(time.time() * 1000)
    async with session.open_editor(store, author) as editor:
        entry = model.Override(
            id=uuid.uuid4().hex[:12],
            setting=setting,
            value=value,
            scope=scope,
            reason=reason,
            author=editor.author,
            since_ms=now_ms,
            until_ms=None if for_s is None else now_ms + int(for_s * 1000),
        )
        new = await editor.change(
            reason, time.time(), edits.add_entry("exceptions", entry)
        )
    output.print_result(
        {"id": entry.id, "revision": new.revision},
        [f"exception {entry.id} stored as revision {new.revision}"],
        as_json,
    )


def _format_scope(scope: model.Scope) -> str:
    parts = [
        f"{field}={value}"
        for field, value in msgspec.to_builtins(scope).items()
        if value is not None
    ]
    return ",".join(parts) or "everything"
