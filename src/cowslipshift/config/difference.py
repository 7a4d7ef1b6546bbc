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
    """The changes that turn one revision into another.

    Attributes:
        base: Revision that the difference applies to.
        base_digest: Digest of the base document.
        target: Revision that results.
        target_digest: Digest of the resulting document.
        scalars: Changed fields that are not sections, by name.
        order: Names or ids of all entries of each changed section, in their
            new order; entries that are absent here are removed.
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
    """Compute the difference between two configurations, by section."""
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
    """Apply a difference and validate the result.

    Raises:
        DifferenceError: The digest of the base or of the result differs from
            the expected one, or the difference is malformed.
        InvalidConfigurationError: The result breaks a rule.
        KeyError: The difference refers to an entry that is neither in it nor
            in the base.
    """
    if document.digest_document(old) != difference.base_digest:
        raise exceptions.DifferenceError(
            f"difference applies to revision {difference.base}, but this "
            f"host has another document at revision {old.revision}"
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
            "digest mismatch: the difference did not result in revision "
            f"{difference.target}"
        )
    validation.check_configuration(new)
    return new


def list_changes(
    old: model.Configuration, new: model.Configuration
) -> list[str]:
    """List added (+), removed (-) and changed (~) entries, one per line."""
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
