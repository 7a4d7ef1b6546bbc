"""The commands ``cowslipshift account`` and ``cowslipshift key``."""

from __future__ import annotations

import asyncio
import secrets
import time
import uuid

from cowslipshift.config import edits
from cowslipshift.config import model
from cowslipshift.console import output
from cowslipshift.console import session
from cowslipshift.console.commands import config
from cowslipshift.topology import accounts

KEY_BYTES = 32


class AccountCommand:
    """Add, change and list client accounts."""

    def add(
        self,
        name: str,
        rate: float,
        burst: float,
        reason: str = "new client account",
        services: str = "",
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Add a client account.

        Args:
            name: Name of the client account.
            rate: Fleet-wide requests per second.
            burst: Fleet-wide burst in requests.
            reason: Reason for the change, shown to other operators.
            services: Services that the account may use, separated by commas;
                all if empty.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        entry = model.Account(
            name=str(name),
            rate=float(rate),
            burst=float(burst),
            services=tuple(s for s in str(services).split(",") if s),
        )
        edit = edits.add_entry("accounts", entry)
        asyncio.run(config.apply_edit(edit, reason, store, author, json))

    def limit(
        self,
        name: str,
        rate: float,
        burst: float,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Change the rate and burst of a client account.

        Args:
            name: Name of the client account.
            rate: Fleet-wide requests per second.
            burst: Fleet-wide burst in requests.
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        edit = edits.update_entry(
            "accounts", str(name), rate=float(rate), burst=float(burst)
        )
        asyncio.run(config.apply_edit(edit, reason, store, author, json))

    def list(self, store: str | None = None, json: bool = False) -> None:
        """List client accounts.

        Args:
            store: Base URLs of the store, separated by commas.
            json: Print JSON.
        """
        entries = asyncio.run(session.read_configuration(store)).accounts
        rows = [["ACCOUNT", "RATE", "BURST", "SERVICES"]]
        rows += [
            [a.name, f"{a.rate:g}", f"{a.burst:g}", ",".join(a.services)]
            for a in entries
        ]
        output.print_result(entries, output.format_table(rows), json)


class KeyCommand:
    """Create, withdraw and list the API keys of client accounts."""

    def give(
        self,
        account: str,
        reason: str = "key given",
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Create a key and print it once; only its digest is stored.

        Args:
            account: The client account.
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        asyncio.run(_create_key(str(account), reason, store, author, json))

    def withdraw(
        self,
        id: str,
        reason: str,
        store: str | None = None,
        author: str | None = None,
        json: bool = False,
    ) -> None:
        """Withdraw a key permanently.

        Args:
            id: Id of the key, as listed.
            reason: Reason for the change, shown to other operators.
            store: Base URLs of the store, separated by commas.
            author: Name of the operator.
            json: Print JSON.
        """
        edit = edits.update_entry("keys", str(id), state="withdrawn")
        asyncio.run(config.apply_edit(edit, reason, store, author, json))

    def list(self, store: str | None = None, json: bool = False) -> None:
        """List the ids and states of keys; the keys are not stored.

        Args:
            store: Base URLs of the store, separated by commas.
            json: Print JSON.
        """
        entries = asyncio.run(session.read_configuration(store)).keys
        rows = [["ID", "ACCOUNT", "STATE"]]
        rows += [[key.id, key.account, key.state] for key in entries]
        output.print_result(entries, output.format_table(rows), json)


async def _create_key(
    account: str,
    reason: str,
    store: str | None,
    author: str | None,
    as_json: bool,
) -> None:
    secret = secrets.token_urlsafe(KEY_BYTES)
    entry = model.Key(
        id=uuid.uuid4().hex[:12],
        account=account,
        digest=accounts.digest_key(secret),
    )
    async with session.open_editor(store, author) as editor:
        new = await editor.change(
            reason, time.time(), edits.add_entry("keys", entry)
        )
    output.print_result(
        {"id": entry.id, "key": secret, "revision": new.revision},
        [
            f"key {entry.id} stored as revision {new.revision}",
            f"pass this key to the caller, it is not shown again: {secret}",
        ],
        as_json,
    )
