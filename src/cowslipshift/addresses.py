"""Addresses of the form ``ip:port``."""

from __future__ import annotations


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into the IP number, without brackets, and the port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
