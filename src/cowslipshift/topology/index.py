"""Everything that is derived from one configuration."""

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
    """The world as one revision of the configuration describes it.

    Args:
        configuration: The accepted configuration.
        previous: The world before it. Its block table is kept if blocks
            have not changed: building one for the target's 180,000 blocks
            takes seconds.
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
