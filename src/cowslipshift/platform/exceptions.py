"""Errors in the platform's settings file and store entries."""

from __future__ import annotations

from cowslipshift import exceptions


class PlatformSettingsError(exceptions.CowslipshiftError):
    """The settings file is missing or malformed."""

    code = "platform_settings_invalid"


class MalformedEntryError(exceptions.CowslipshiftError):
    """An entry of the store does not have the format that its key implies.

    Attributes:
        path: Path of the field; ``$`` for the whole entry.
    """

    code = "platform_entry_malformed"

    def __init__(self, message: str, path: str = "$") -> None:
        super().__init__(message)
        self.path = path
