"""Tests of client blocks and of links between regions."""

from __future__ import annotations

import ipaddress

from hypothesis import given
from hypothesis import strategies as st
import pytest
from tests import builders

from cowslipshift.config import model
from cowslipshift.topology import blocks
from cowslipshift.topology import fleet
from cowslipshift.topology import links

REGIONS = ("north", "south")

networks = st.builds(
    lambda number, bits: ipaddress.ip_network((number << 16, bits), False),
    st.integers(0x0A00, 0x0A0F),
    st.integers(8, 24),
)


def find_naively(
    entries: dict[ipaddress.IPv4Network, str], address: ipaddress.IPv4Address
) -> str | None:
    """Return the region of the longest prefix by scanning all blocks."""
    matching = [network for network in entries if address in network]
    if not matching:
        return None
    return entries[max(matching, key=lambda network: network.prefixlen)]


@given(
    st.dictionaries(networks, st.sampled_from(REGIONS), max_size=8),
    st.lists(st.integers(0x0A000000, 0x0A1FFFFF), min_size=1, max_size=20),
)
def test_block_table_finds_the_longest_prefix(
    entries: dict[ipaddress.IPv4Network, str], numbers: list[int]
) -> None:
    table = blocks.BlockTable(
        model.Configuration(
            regions=tuple(model.Region(name=name) for name in REGIONS),
            blocks=tuple(
                model.Block(name=str(network), region=region)
                for network, region in entries.items()
            ),
        )
    )
    for number in numbers:
        address = ipaddress.IPv4Address(number)
        assert table.find_region(str(address)) == find_naively(
            entries, address
        )


@pytest.mark.parametrize(
    ("address", "block"),
    [
        ("10.1.2.3", "10.1.2.0/24"),
        ("::ffff:10.1.2.3", "10.1.2.0/24"),
        ("2001:db8:1:2::9", "2001:db8:1::/48"),
        ("fe80::1%eth0", "fe80::/48"),
    ],
)
def test_client_block_of_an_address(address: str, block: str) -> None:
    assert blocks.get_client_block(address) == block


def test_hosts_of_a_region_together_stay_within_the_links_limit() -> None:
    configuration = builders.build_configuration()
    limit = configuration.links[0].limit_mbit * 1e6 / 8
    topology = fleet.Fleet(configuration)
    tables = [
        links.LinkTable(configuration, topology, "north", 0.0)
        for _ in range(2)
    ]
    size, sent = 1_000_000, 0
    for step in range(1_000):
        now = step / 100
        for table in tables:
            while table.try_take("south", size, now):
                sent += size
    assert sent <= limit * (10 + links.BURST_S)
    assert sent >= limit * 9
