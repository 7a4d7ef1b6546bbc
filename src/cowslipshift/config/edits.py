"""Edits of a configuration, as functions that return the changed one."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import exceptions
from cowslipshift.config import model

if TYPE_CHECKING:
    from collections.abc import Callable

    Edit = Callable[[model.Configuration], model.Configuration]


class NoSuchEntryError(exceptions.ConfigurationError):
    """The entry does not exist."""

    code = "config_no_entry"


class DuplicateEntryError(exceptions.ConfigurationError):
    """An entry with this name or id exists already."""

    code = "config_duplicate"


def replace_document(new: model.Configuration) -> Edit:
    """Return an edit that replaces the whole configuration.

    Keys that are withdrawn cannot become active again.
    """

    def edit(old: model.Configuration) -> model.Configuration:
        withdrawn = {key.id for key in old.keys if key.state == "withdrawn"}
        for key in new.keys:
            if key.id in withdrawn and key.state != "withdrawn":
                raise exceptions.InvalidConfigurationError(
                    [
                        exceptions.Fault(
                            f"keys[{key.id}].state",
                            "is withdrawn for good; add a new key instead",
                            "key_withdrawn",
                        )
                    ]
                )
        return new

    return edit


def add_entry(section: str, entry: model.Entry) -> Edit:
    """Return an edit that adds an entry to a section."""

    def edit(old: model.Configuration) -> model.Configuration:
        field = model.SECTIONS[section]
        name = getattr(entry, field)
        entries = getattr(old, section)
        if any(getattr(known, field) == name for known in entries):
            raise DuplicateEntryError(f"{section}[{name}] already exists")
        return _replace(old, section, (*entries, entry))

    return edit


def remove_entry(section: str, name: str) -> Edit:
    """Return an edit that removes an entry."""

    def edit(old: model.Configuration) -> model.Configuration:
        field = model.SECTIONS[section]
        entries = getattr(old, section)
        kept = tuple(e for e in entries if getattr(e, field) != name)
        if len(kept) == len(entries):
            raise NoSuchEntryError(f"there is no {section}[{name}]")
        return _replace(old, section, kept)

    return edit


def update_entry(section: str, name: str, **fields: Any) -> Edit:
    """Return an edit that changes fields of an entry."""

    def edit(old: model.Configuration) -> model.Configuration:
        field = model.SECTIONS[section]
        entries = list(getattr(old, section))
        for position, entry in enumerate(entries):
            if getattr(entry, field) == name:
                entries[position] = msgspec.structs.replace(entry, **fields)
                return _replace(old, section, tuple(entries))
        raise NoSuchEntryError(f"there is no {section}[{name}]")

    return edit


def set_default(setting: str, value: float) -> Edit:
    """Return an edit that sets a fleet-wide default."""

    def edit(old: model.Configuration) -> model.Configuration:
        if setting not in model.Defaults.__struct_fields__:
            known = ", ".join(model.Defaults.__struct_fields__)
            raise NoSuchEntryError(
                f"there is no default '{setting}'; choose one of {known}"
            )
        kind = type(getattr(old.defaults, setting))
        defaults = msgspec.structs.replace(
            old.defaults, **{setting: kind(value)}
        )
        return msgspec.structs.replace(old, defaults=defaults)

    return edit


def _replace(
    old: model.Configuration, section: str, entries: tuple[Any, ...]
) -> model.Configuration:
    return msgspec.structs.replace(old, **{section: entries})
