"""Stable hashing: equal results on every host and in every process."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

_SCALE = float(1 << 64)


def hash_text(text: str) -> int:
    """Return a 64-bit hash of a string."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_fraction(text: str) -> float:
    """Return a hash of a string in the open interval from 0 to 1."""
    return (hash_text(text) + 0.5) / _SCALE


def rank_members(resource: str, members: Iterable[str]) -> list[str]:
    """Order members for a resource by rendezvous hashing.

    The first one is the owner. When a member is removed, only the resources
    that it owned get another owner.
    """
    return sorted(
        members,
        key=lambda member: (hash_text(f"{resource}|{member}"), member),
        reverse=True,
    )


def rank_weighted(resource: str, weights: Mapping[str, float]) -> list[str]:
    """Order members by weighted rendezvous hashing.

    Each member comes first for a share of resources in proportion to its
    weight. A change of one weight moves the least possible share of
    resources. Members without a positive weight are left out.
    """
    scored = [
        (_score_weighted(resource, member, weight), member)
        for member, weight in weights.items()
        if weight > 0.0
    ]
    scored.sort(reverse=True)
    return [member for _, member in scored]


def _score_weighted(resource: str, member: str, weight: float) -> float:
    return weight / -math.log(hash_fraction(f"{resource}|{member}"))
