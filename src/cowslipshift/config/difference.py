"""Differences between two revisions of the configuration."""

from __future__ import annotations

from typing import Any

import msgspec

from cowslipshift.config import document
from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import validation

_SCALARS = ("format", "revision", "change", "defaults")


class Difference(msgspec.Struct, frozen=True, kw_only=True):
    """What turns one revision into another.

    Attributes:
        base: Revision that the difference applies to.
        base_digest: Digest of the base document.
        target: Revision that results.
        target_digest: Digest of the resulting document.
        scalars: Fields that are not sections.
        order: Ids of each changed section in their new order.
        entries: Added or changed entries of each changed section.
    """

    base: int
    base_digest: str
    target: int
    target_digest: str
    scalars: dict[str, Any]
    order: dict[str, list[str]]
    entries: dict[str, list[dict[str, Any]]]


def compute_difference(
    old: model.Configuration, new: model.Configuration
) -> Difference:
    """Compare two configurations section by section."""
    order: dict[str, list[str]] = {}
    entries: dict[str, list[dict[str, Any]]] = {}
    for section, field in model.SECTIONS.items():
        before, after = getattr(old, section), getattr(new, section)
        if before == after:
            continue
        known = {getattr(entry, field): entry for entry in before}
        order[section] = [getattr(entry, field) for entry in after]
        entries[section] = [
            msgspec.to_builtins(entry)
            for entry in after
            if known.get(getattr(entry, field)) != entry
        ]
    return Difference(
        base=old.revision,
        base_digest=document.digest_document(old),
        target=new.revision,
        target_digest=document.digest_document(new),
        scalars={
            name: msgspec.to_builtins(getattr(new, name))
            for name in _SCALARS
            if getattr(new, name) != getattr(old, name)
        },
        order=order,
        entries=entries,
    )


def apply_difference(
    old: model.Configuration, difference: Difference
) -> model.Configuration:
    """Apply a difference and check the result.

    Raises:
        DifferenceError: The base or the result is not the expected one.
        InvalidConfigurationError: The result breaks a rule.
    """
    if document.digest_document(old) != difference.base_digest:
        raise exceptions.DifferenceError(
            f"the difference is based on revision {difference.base}, "
            f"this host has another document at revision {old.revision}"
        )
    fields: dict[str, Any] = dict(difference.scalars)
    for section, ids in difference.order.items():
        field = model.SECTIONS[section]
        known = {
            getattr(entry, field): msgspec.to_builtins(entry)
            for entry in getattr(old, section)
        }
        known.update({e[field]: e for e in difference.entries[section]})
        fields[section] = [known[name] for name in ids]
    new = _replace_fields(old, fields)
    if document.digest_document(new) != difference.target_digest:
        raise exceptions.DifferenceError(
            f"the difference did not lead to revision {difference.target}"
        )
    validation.check_configuration(new)
    return new


def list_changes(
    old: model.Configuration, new: model.Configuration
) -> list[str]:
    """Describe each added, removed and changed entry in a line."""
    lines = []
    if old.defaults != new.defaults:
        lines.append("~ defaults")
    for section, field in model.SECTIONS.items():
        before = {getattr(e, field): e for e in getattr(old, section)}
        after = {getattr(e, field): e for e in getattr(new, section)}
        for name in sorted(before.keys() | after.keys()):
            if name not in after:
                lines.append(f"- {section}[{name}]")
            elif name not in before:
                lines.append(f"+ {section}[{name}]")
            elif before[name] != after[name]:
                lines.append(f"~ {section}[{name}]")
    return lines


def _replace_fields(
    old: model.Configuration, fields: dict[str, Any]
) -> model.Configuration:
    values = {
        name: fields.get(name, getattr(old, name))
        for name in model.Configuration.__struct_fields__
    }
    try:
        return msgspec.convert(
            msgspec.to_builtins(values), model.Configuration
        )
    except (msgspec.ValidationError, KeyError) as error:
        raise exceptions.DifferenceError(str(error)) from error
