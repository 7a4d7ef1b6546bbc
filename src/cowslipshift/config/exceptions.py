"""Errors of the configuration layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift import exceptions

if TYPE_CHECKING:
    from collections.abc import Sequence


class Fault(msgspec.Struct, frozen=True):
    """One fault in a configuration.

    Attributes:
        path: Where it is, such as ``servers[catalogue-01].slots``.
        message: What is wrong.
    """

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class ConfigurationError(exceptions.CowslipshiftError):
    """A configuration cannot be used."""

    code = "config_invalid"


class InvalidConfigurationError(ConfigurationError):
    """A configuration was read but breaks one or more rules.

    Attributes:
        faults: Every fault found, in document order.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(f"configuration refused: {lines}")
        self.faults = tuple(faults)


class OversizedConfigurationError(ConfigurationError):
    """A configuration is larger than the store's values may be."""

    code = "config_too_large"


class DifferenceError(ConfigurationError):
    """A difference does not apply to the configuration at hand."""

    code = "config_difference"
