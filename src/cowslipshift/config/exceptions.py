"""Errors of the configuration layer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift import exceptions

if TYPE_CHECKING:
    from collections.abc import Sequence


class Fault(msgspec.Struct, frozen=True):
    """One violation of a rule in a configuration.

    Attributes:
        path: Entry and field, such as ``servers[catalogue-01].slots``.
        message: What is wrong.
        code: A stable identifier of the rule.
    """

    path: str
    message: str
    code: str = "value_invalid"

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"


class ConfigurationError(exceptions.CowslipshiftError):
    """A configuration is invalid, or a change to it failed."""

    code = "config_invalid"


class InvalidConfigurationError(ConfigurationError):
    """A configuration is malformed or breaks one or more rules.

    Attributes:
        faults: Every fault found, in document order.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(f"invalid configuration: {lines}")
        self.faults = tuple(faults)


class OversizedConfigurationError(ConfigurationError):
    """A configuration exceeds the store's limit for a value."""

    code = "config_too_large"


class DifferenceError(ConfigurationError):
    """A difference is malformed or does not apply to this host's revision."""

    code = "config_difference"
