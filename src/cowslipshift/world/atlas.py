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
    """The world as one revision of the configuration describes it."""

    def __init__(self, configuration: model.Configuration) -> None:
        self.configuration = configuration
        self.revision = configuration.revision
        self.fleet = fleet.Fleet(configuration)
        self.services = services.ServiceTable(configuration)
        self.contracts = contracts.ContractBook(configuration)
        self.blocks = blocks.BlockTable(configuration)
        self.weights = weights.WeightTable(configuration.shifts)
        self.settings = resolution.Settings(configuration)
