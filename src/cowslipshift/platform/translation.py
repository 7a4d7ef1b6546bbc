"""Translates items of the platform's store into changes for `steering`."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import msgspec

from cowslipshift.platform import codec
from cowslipshift.platform import exceptions
from cowslipshift.platform import names
from cowslipshift.steering import changes
from cowslipshift.steering import model
from cowslipshift.steering import rollouts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cowslipshift.store import interface


def translate_item(
    item: interface.Item, era: int = 0
) -> changes.Change | None:
    """Return the change that an item represents; ``None`` for other keys.

    Args:
        item: The item.
        era: Era of the store that its revisions belong to.

    Raises:
        MalformedEntryError: The value does not have the format that its key
            implies.
        StoreAnswerError: A stage of a roll-out is malformed.
    """
    key, value = item.key, item.value
    if key == names.CONFIG_KEY:
        return changes.ConfigurationChange(
            codec.decode_configuration(value) if value else None
        )
    if key.startswith(names.BACKEND_PREFIX):
        identity = key.removeprefix(names.BACKEND_PREFIX)
        if value is None:
            return changes.BackendChange(identity, None)
        return changes.BackendChange(
            identity, codec.decode_backend(identity, value)
        )
    if key.startswith(names.ROLLOUT_PREFIX):
        service = key.removeprefix(names.ROLLOUT_PREFIX)
        if value is None:
            return changes.OrderChange(service, None)
        number = item.created or item.revision
        order = codec.decode_rollout(value, number, era)
        return changes.OrderChange(service, order)
    if key.startswith(names.EVACUATION_PREFIX):
        centre = key.removeprefix(names.EVACUATION_PREFIX)
        return changes.EvacuationChange(centre, value is not None)
    if key.startswith(names.STAGE_PREFIX):
        service = key.removeprefix(names.STAGE_PREFIX)
        stage = rollouts.decode_stage(value) if value else None
        revision = item.revision if value else 0
        return changes.StageChange(service, stage, revision, era)
    if key.startswith(names.MEMBER_PREFIX):
        name = key.removeprefix(names.MEMBER_PREFIX)
        return changes.MemberChange(name, _decode_member(value))
    return None


def list_members(items: Iterable[interface.Item]) -> list[model.Member]:
    """Return the hosts that are registered, malformed entries left out."""
    members = []
    for item in items:
        if not item.key.startswith(names.MEMBER_PREFIX):
            continue
        with contextlib.suppress(exceptions.MalformedEntryError):
            member = _decode_member(item.value)
            if member is not None:
                members.append(member)
    return members


def _decode_member(value: bytes | None) -> model.Member | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=model.Member)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.MalformedEntryError(
            f"malformed entry of a host: {error}"
        ) from error
