"""Errors of the platform's formats."""

from __future__ import annotations

from cowslipshift import exceptions


class PlatformSettingsError(exceptions.CowslipshiftError):
    """The platform's settings file cannot be used."""

    code = "platform_settings_invalid"


class MalformedEntryError(exceptions.CowslipshiftError):
    """An entry of the store is not what its key promises."""

    code = "platform_entry_malformed"
