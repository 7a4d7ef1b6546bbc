"""Ports of this machine that belong to one process until it releases them.

A port that is free when it is chosen may be taken before it is used, by
another fleet or for an outgoing connection; a host that is started again
needs the same one. So ports are below those for outgoing connections, and a
lock on a file stands for each.
"""

from __future__ import annotations

import fcntl
import itertools
import pathlib
import random
import socket
import tempfile
from typing import IO
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""The ports for outgoing connections usually start at 32,768."""

LOOPBACK_ADDRESS = "127.0.0.1"
MAX_TRIES = 10_000

_locks: dict[int, IO[bytes]] = {}


class NoPortError(Exception):
    """No free port was found."""


def reserve_ports(count: int, consecutive: int = 1) -> list[int]:
    """Reserve free ports for this process until it releases them or ends.

    Args:
        count: Number of ports.
        consecutive: How many of them, the first ones, follow each other.

    Raises:
        NoPortError: None is left.
    """
    ports = _reserve_row(consecutive)
    while len(ports) < count:
        ports += _reserve_row(1)
    return ports[:count]


def release_ports(ports: Iterable[int]) -> None:
    """Release reserved ports, once nothing uses them any more.

    Args:
        ports: Ports that this process has reserved.
    """
    for port in ports:
        _locks.pop(port).close()


def _reserve_row(length: int) -> list[int]:
    for _ in range(MAX_TRIES):
        first = random.randrange(FIRST_PORT, LAST_PORT - length)
        row = list(range(first, first + length))
        locked = list(itertools.takewhile(_lock, row))
        if locked == row:
            return row
        release_ports(locked)
    raise NoPortError(f"no free port in {MAX_TRIES} tries")


def _lock(port: int) -> bool:
    """Take a port unless this process, or another one, has it."""
    if port in _locks:
        return False
    folder = pathlib.Path(tempfile.gettempdir()) / "cowslipshift-ports"
    folder.mkdir(exist_ok=True)
    file = (folder / str(port)).open("ab")
    try:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        file.close()
        return False
    if not _is_free(port):
        file.close()
        return False
    _locks[port] = file
    return True


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((LOOPBACK_ADDRESS, port))
            except OSError:
                return False
    return True
