"""Access to the store and the hosts, from flags or environment variables."""

from __future__ import annotations

import contextlib
import getpass
import os
from typing import TYPE_CHECKING

from cowslipshift import bodies
from cowslipshift import connections
from cowslipshift import exceptions
from cowslipshift.config import editor as editors
from cowslipshift.platform import review
from cowslipshift.platform import store as stores
from cowslipshift.store import client as clients

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from cowslipshift.config import model

STORE_VARIABLE = "COWSLIPSHIFT_STORE"
HOST_VARIABLE = "COWSLIPSHIFT_HOST"
AUTHOR_VARIABLE = "COWSLIPSHIFT_AUTHOR"


class UsageError(exceptions.CowslipshiftError):
    """A flag or environment variable is missing, or a file is unreadable."""

    code = "usage"


@contextlib.asynccontextmanager
async def open_editor(
    store: str | None, author: str | None = None
) -> AsyncIterator[editors.Editor]:
    """Open an editor of the configuration in the store.

    Args:
        store: Base URLs of the store, separated by commas; the value of
            `STORE_VARIABLE` by default.
        author: Name of the operator; the value of `AUTHOR_VARIABLE` or the
            login name by default.

    Raises:
        UsageError: No store is given.
    """
    text = store or os.environ.get(STORE_VARIABLE, "")
    endpoints = [part.strip() for part in text.split(",") if part.strip()]
    if not endpoints:
        raise UsageError(f"give --store or set {STORE_VARIABLE}")
    name = author or os.environ.get(AUTHOR_VARIABLE) or getpass.getuser()
    async with connections.open_control_session() as session:
        yield editors.Editor(clients.StoreClient(endpoints, session), name)


def resolve_host_url(host: str | None) -> str:
    """Return the base URL of a host, without a trailing slash.

    Args:
        host: Base URL; the value of `HOST_VARIABLE` by default.

    Raises:
        UsageError: No host is given.
    """
    url = host or os.environ.get(HOST_VARIABLE, "")
    if not url:
        raise UsageError(f"give --host or set {HOST_VARIABLE}")
    return url.rstrip("/")


async def read_configuration(store: str | None) -> model.Configuration:
    """Read the configuration from the store.

    Raises:
        UsageError: No store is given.
        StoreError: The store did not answer.
        ConfigurationError: The stored configuration is invalid.
    """
    async with open_editor(store) as editor:
        return (await editor.read()).configuration


async def read_deployment(address: str) -> review.Deployment:
    """Read the configuration and the servers from a platform's store.

    Args:
        address: ``ip:port`` of the store, or its base URL.

    Raises:
        StoreError: The store did not answer.
    """
    async with connections.open_control_session() as session:
        store = stores.PlatformStore(
            address.removeprefix("http://").rstrip("/"),
            session,
            lambda kind, outcome: None,
            bodies.ByteBudget(bodies.MAX_CONTROL_BYTES),
        )
        return await review.read_deployment(store)
