"""All look-up tables that are built from one configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.config import resolution
from cowslipshift.config import weights
from cowslipshift.topology import accounts
from cowslipshift.topology import blocks
from cowslipshift.topology import fleet
from cowslipshift.topology import services

if TYPE_CHECKING:
    from cowslipshift.config import model


class ConfigurationIndex:
    """Look-up tables of one revision of the configuration.

    Args:
        configuration: The accepted configuration.
        previous: Index of the revision before it. Its block table is reused
            if blocks and regions have not changed: building one for the
            180,000 blocks of the target scale takes seconds.
    """

    def __init__(
        self,
        configuration: model.Configuration,
        previous: ConfigurationIndex | None = None,
    ) -> None:
        self.configuration = configuration
        self.revision = configuration.revision
        self.fleet = fleet.Fleet(configuration)
        self.services = services.ServiceTable(configuration)
        self.accounts = accounts.AccountTable(configuration)
        self.blocks = _build_blocks(configuration, previous)
        self.weights = weights.WeightTable(configuration.shifts)
        self.settings = resolution.SettingsResolver(configuration)


def _build_blocks(
    configuration: model.Configuration, previous: ConfigurationIndex | None
) -> blocks.BlockTable:
    if previous is not None:
        known = previous.configuration
        if (known.blocks, known.regions) == (
            configuration.blocks,
            configuration.regions,
        ):
            return previous.blocks
    return blocks.BlockTable(configuration)
