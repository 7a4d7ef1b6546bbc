"""Blocks of client addresses and the region nearest to each."""

from __future__ import annotations

import array
import bisect
import ipaddress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cowslipshift.config import model

IPV4_BLOCK_BITS = 24
IPV6_BLOCK_BITS = 48


class BlockTable:
    """Finds the region of a client address by longest-prefix match.

    Nested blocks are flattened into sorted intervals in arrays, 12 bytes for
    each, so that hundreds of thousands fit into the memory of every host.
    Only the upper 64 bits of IPv6 addresses are compared.
    """

    def __init__(self, configuration: model.Configuration) -> None:
        self._regions = [region.name for region in configuration.regions]
        self._v4 = _Intervals()
        self._v6 = _Intervals()
        index = {name: i for i, name in enumerate(self._regions)}
        networks = sorted(
            (
                (ipaddress.ip_network(block.name), index[block.region])
                for block in configuration.blocks
            ),
            key=lambda item: (
                item[0].version,
                int(item[0].network_address),
                item[0].prefixlen,
            ),
        )
        for network, region in networks:
            if network.version == 4:
                first = int(network.network_address)
                last = int(network.broadcast_address)
                self._v4.add(first, last, region)
            else:
                first = int(network.network_address) >> 64
                last = int(network.broadcast_address) >> 64
                self._v6.add(first, last, region)
        self._v4.finish()
        self._v6.finish()

    def find_region(self, address: str) -> str | None:
        """Return the region nearest to an address or block.

        Raises:
            ValueError: The text is neither an IP address nor a block.
        """
        network = ipaddress.ip_network(address, strict=False)
        number = int(network.network_address)
        if network.version == 4:
            region = self._v4.find(number)
        else:
            region = self._v6.find(number >> 64)
        return None if region is None else self._regions[region]


class _Intervals:
    """Maps numbers to values; flattens nested intervals into disjoint ones.

    A value of -1 stands for a gap.
    """

    def __init__(self) -> None:
        self._starts = array.array("Q")
        self._values = array.array("i")
        self._open: list[tuple[int, int]] = []

    def add(self, first: int, last: int, value: int) -> None:
        """Add an interval.

        Intervals are added in order of their start, outer ones first.
        """
        self._close_before(first)
        self._mark(first, value)
        self._open.append((last, value))

    def finish(self) -> None:
        """Close the intervals that are still open."""
        self._close_before(1 << 65)

    def find(self, number: int) -> int | None:
        """Return the value of the innermost interval with a number."""
        position = bisect.bisect_right(self._starts, number) - 1
        if position < 0 or self._values[position] < 0:
            return None
        return self._values[position]

    def _close_before(self, first: int) -> None:
        while self._open and self._open[-1][0] < first:
            last, _ = self._open.pop()
            outer = self._open[-1][1] if self._open else -1
            if last + 1 < 1 << 64:
                self._mark(last + 1, outer)

    def _mark(self, start: int, value: int) -> None:
        if self._starts and self._starts[-1] == start:
            self._values[-1] = value
            return
        self._starts.append(start)
        self._values.append(value)


def get_client_block(address: str) -> str:
    """Return the /24 (IPv4) or /48 (IPv6) block of a client address.

    IPv4-mapped IPv6 addresses count as IPv4; zone ids are ignored.
    """
    number = ipaddress.ip_address(address.partition("%")[0])
    if isinstance(number, ipaddress.IPv6Address) and number.ipv4_mapped:
        number = number.ipv4_mapped
    bits = IPV4_BLOCK_BITS if number.version == 4 else IPV6_BLOCK_BITS
    return str(ipaddress.ip_network(f"{number}/{bits}", strict=False))
