"""What a host holds back when the store has come back from a copy.

Entries that say by themselves which of two is the later one need no holding
back: configurations have versions, servers number their entries, and stages of
roll-outs tell their progress.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cowslipshift.platform import names

if TYPE_CHECKING:
    from cowslipshift.store import interface

HELD_PREFIXES = (names.ROLLOUT_PREFIX, names.EVACUATION_PREFIX)


def may_be_restored(known: interface.Item, stored: interface.Item) -> bool:
    """Tell whether a known item is expected to be written again.

    Args:
        known: The item before the store came back; without a value if there
            was none.
        stored: The item that the store has now, likewise.
    """
    if known.key.startswith(HELD_PREFIXES):
        return True
    # A host that nobody knew can be used at once.
    return (
        known.key.startswith(names.MEMBER_PREFIX) and known.value is not None
    )
