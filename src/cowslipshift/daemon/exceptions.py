"""Errors of the daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift import exceptions

if TYPE_CHECKING:
    from collections.abc import Sequence


class SettingsError(exceptions.CowslipshiftError):
    """Some settings are missing or invalid.

    Attributes:
        faults: One message for each invalid setting.
    """

    code = "settings_invalid"

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = tuple(faults)
