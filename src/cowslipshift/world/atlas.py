"""Everything that is derived from one configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.config import resolution
from cowslipshift.config import weights
from cowslipshift.world import blocks
from cowslipshift.world import contracts
from cowslipshift.world import fleet
from cowslipshift.world import services

if TYPE_CHECKING:
    from cowslipshift.config import model


class Atlas:
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
        previous: Atlas | None = None,
    ) -> None:
        self.configuration = configuration
        self.revision = configuration.revision
        self.fleet = fleet.Fleet(configuration)
        self.services = services.ServiceTable(configuration)
        self.contracts = contracts.ContractBook(configuration)
        self.blocks = _build_blocks(configuration, previous)
        self.weights = weights.WeightTable(configuration.shifts)
        self.settings = resolution.Settings(configuration)


def _build_blocks(
    configuration: model.Configuration, previous: Atlas | None
) -> blocks.BlockTable:
    if previous is not None:
        known = previous.configuration
        if (known.blocks, known.regions) == (
            configuration.blocks,
            configuration.regions,
        ):
            return previous.blocks
    return blocks.BlockTable(configuration)
