"""Differences between two revisions of the configuration."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.config import document
from cowslipshift.config import exceptions
from cowslipshift.config import model
from cowslipshift.config import validation

if TYPE_CHECKING:
    from collections.abc import Container
    from collections.abc import Mapping

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
    lines = list_entry_changes(
        {"defaults": msgspec.to_builtins(old.defaults)},
        {"defaults": msgspec.to_builtins(new.defaults)},
    )
    for section in model.SECTIONS:
        lines += list_entry_changes(
            _list_entries(old, section), _list_entries(new, section)
        )
    return lines


def list_entry_changes(
    before: Mapping[str, Mapping[str, Any]],
    after: Mapping[str, Mapping[str, Any]],
    secret_fields: Container[str] = (),
) -> list[str]:
    """List changed entries with their fields, one entry per line.

    Args:
        before: Fields of each entry by its path.
        after: The same afterwards.
        secret_fields: Lists of which only the number of changes is shown.
    """
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in after:
            lines.append(f"- {path}")
        elif path not in before:
            lines.append(f"+ {path}")
        elif before[path] != after[path]:
            old, new = before[path], after[path]
            fields = [
                _describe_field(
                    name, old.get(name), new.get(name), name in secret_fields
                )
                for name in dict.fromkeys([*old, *new])
                if old.get(name) != new.get(name)
            ]
            lines.append(f"~ {path}: {', '.join(fields)}")
    return lines


def _list_entries(
    configuration: model.Configuration, section: str
) -> dict[str, dict[str, Any]]:
    field = model.SECTIONS[section]
    return {
        f"{section}[{getattr(entry, field)}]": msgspec.to_builtins(entry)
        for entry in getattr(configuration, section)
    }


def _describe_field(name: str, old: Any, new: Any, is_secret: bool) -> str:
    if not isinstance(old, list | tuple) or not isinstance(new, list | tuple):
        return f"{name} {_format_value(old)} -> {_format_value(new)}"
    added = [item for item in new if item not in old]
    removed = [item for item in old if item not in new]
    if not added and not removed:
        return f"{name} in another order"
    if is_secret:
        return f"{name} {len(added)} added and {len(removed)} removed"
    items = [f"+{_format_value(item)}" for item in added]
    items += [f"-{_format_value(item)}" for item in removed]
    return f"{name} {' '.join(items)}"


def _format_value(value: Any) -> str:
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return msgspec.json.encode(value).decode()


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
