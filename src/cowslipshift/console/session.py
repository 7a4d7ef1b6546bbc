"""What most commands need: the store, the operator's name, an editor."""

from __future__ import annotations

import contextlib
import getpass
import os
from typing import TYPE_CHECKING

import aiohttp

from cowslipshift import exceptions
from cowslipshift.config import editor as editors
from cowslipshift.store import client as clients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cowslipshift.config import model

STORE_VARIABLE = "COWSLIPSHIFT_STORE"
HOST_VARIABLE = "COWSLIPSHIFT_HOST"
AUTHOR_VARIABLE = "COWSLIPSHIFT_AUTHOR"


class UsageError(exceptions.CowslipshiftError):
    """A command was not given what it needs."""

    code = "usage"


@contextlib.asynccontextmanager
async def open_editor(
    store: str | None, author: str | None = None
) -> AsyncIterator[editors.Editor]:
    """Open the store for reading and changing the configuration.

    Args:
        store: Base URLs separated by commas, or the variable's value.
        author: The operator, or the variable's value, or the login name.
    """
    text = store or os.environ.get(STORE_VARIABLE, "")
    endpoints = [part.strip() for part in text.split(",") if part.strip()]
    if not endpoints:
        raise UsageError(f"give --store or set {STORE_VARIABLE}")
    name = author or os.environ.get(AUTHOR_VARIABLE) or getpass.getuser()
    async with aiohttp.ClientSession() as session:
        yield editors.Editor(clients.StoreClient(endpoints, session), name)


def resolve_host_url(host: str | None) -> str:
    """Return the base URL of a host to ask."""
    url = host or os.environ.get(HOST_VARIABLE, "")
    if not url:
        raise UsageError(f"give --host or set {HOST_VARIABLE}")
    return url.rstrip("/")


async def read_configuration(store: str | None) -> model.Configuration:
    """Read the stored configuration."""
    async with open_editor(store) as editor:
        return (await editor.read()).configuration
