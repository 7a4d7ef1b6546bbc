"""Which host of a data centre owns each resource, and how much is usable.

Ownership follows the roster by rendezvous hashing. A host that gains a
resource may not use it before the former owner has stopped: either the
former owner hands it over and says how much is still in use, or the hold
time passes, after which nothing of the former owner can be running. After
a death only time counts, since the dead say nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from cowslipshift.coordination import hashing

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from cowslipshift.coordination import members


class Handover(msgspec.Struct, frozen=True):
    """A former owner's word on a resource.

    Attributes:
        resource: The resource.
        in_use: What the former owner still uses of it.
        ready_in_s: How long the former owner itself had still to wait.
    """

    resource: str
    in_use: int
    ready_in_s: float


class _Home:
    """A resource that this host owns.

    Attributes:
        default_s: When it may be used if no former owner says anything.
        floor_s: When it may be used at the earliest, whoever says what.
        ready: What former owners said, by host.
        lingering: What former owners may still use, and until when.
    """

    __slots__ = ("default_s", "floor_s", "lingering", "ready")

    def __init__(self, default_s: float, floor_s: float) -> None:
        self.default_s = default_s
        self.floor_s = floor_s
        self.ready: dict[str, float] = {}
        self.lingering: dict[str, tuple[int, float]] = {}

    @property
    def ready_s(self) -> float:
        """When the resource may be used."""
        said_s = max(self.ready.values(), default=self.default_s)
        return max(said_s, self.floor_s)

    def count_lingering(self, now: float) -> int:
        """Return what former owners may still use."""
        for giver, (_, until_s) in list(self.lingering.items()):
            if until_s <= now:
                del self.lingering[giver]
        return sum(in_use for in_use, _ in self.lingering.values())


class _Gift:
    """A resource that this host owned until a moment.

    Attributes:
        taker: Who owned it next, in this host's view.
    """

    __slots__ = ("given_s", "home", "taker")

    def __init__(self, home: _Home, taker: str, given_s: float) -> None:
        self.home = home
        self.taker = taker
        self.given_s = given_s


class OwnershipTable:
    """The resources of a data centre and this host's part of them.

    Args:
        membership: The membership view that ownership follows.
        started_clean: Whether nothing of an earlier process of this host
            can be running.
    """

    def __init__(
        self, membership: members.MembershipView, started_clean: bool
    ) -> None:
        self._membership = membership
        self._starts_clean = started_clean
        self._incarnation = membership.incarnation
        self._holds: dict[str, float] = {}
        self._homes: dict[str, _Home] = {}
        self._owners: dict[str, str] = {}
        self._gifts: dict[str, _Gift] = {}
        self._epoch = -1
        self._failures = 0

    def set_resources(self, holds: dict[str, float], now: float) -> None:
        """Declare the resources.

        Args:
            holds: For each resource the seconds after which nothing that a
                former owner started can still be running.
            now: Monotonic time in seconds.
        """
        self._holds = dict(holds)
        self._epoch = -1
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Follow the roster."""
        if self._epoch == self._membership.epoch:
            return
        self._epoch = self._membership.epoch
        if self._incarnation != self._membership.incarnation:
            self._incarnation = self._membership.incarnation
            self._homes.clear()
            self._gifts.clear()
        names = self._membership.list_members()
        self._owners = {
            resource: hashing.rank_members(resource, names)[0]
            for resource in self._holds
            if names
        }
        mine = {
            resource
            for resource, owner in self._owners.items()
            if owner == self._membership.host
        }
        saw_death = self._failures != self._membership.failures
        self._failures = self._membership.failures
        self._drop_gifts(names)
        if saw_death and not self._membership.has_settled:
            for resource, home in self._homes.items():
                home.floor_s = now + self._holds.get(resource, 0.0)
        for resource in self._homes.keys() - mine:
            self._lose(resource, now)
        for resource in mine - self._homes.keys():
            self._gain(resource, saw_death, now)
        self._starts_clean = False

    def find_owner(self, resource: str, now: float) -> str | None:
        """Return the owner of a resource, or ``None`` without members."""
        self.refresh(now)
        return self._owners.get(resource)

    def count_usable(self, resource: str, total: int, now: float) -> int:
        """Return how much of a resource this host may have in use.

        Args:
            resource: The resource.
            total: Its whole size, such as a backend server's slots.
            now: Monotonic time in seconds.
        """
        if not self.may_act(now):
            return 0
        return self.count_owned(resource, total, now)

    def may_act(self, now: float) -> bool:
        """Tell whether this host may use what it owns right now."""
        return self._membership.may_act(now)

    def count_owned(self, resource: str, total: int, now: float) -> int:
        """Return the usable part, given that this host may act."""
        self.refresh(now)
        home = self._homes.get(resource)
        if home is None or now < home.ready_s:
            return 0
        if not home.lingering:
            return total
        return max(0, total - home.count_lingering(now))

    def is_active_owner(self, resource: str, now: float) -> bool:
        """Tell whether this host owns a resource and may act on it."""
        return self.count_usable(resource, 1, now) > 0

    def list_owned(self, now: float) -> list[str]:
        """Return the resources that this host owns, usable or not."""
        self.refresh(now)
        return sorted(self._homes)

    def has_pending(self, now: float) -> bool:
        """Tell whether this host still waits for a resource that it owns."""
        return any(
            home.ready_s > now or home.count_lingering(now)
            for home in self._homes.values()
        )

    def accept_handovers(
        self, giver: str, handovers: Iterable[Handover], now: float
    ) -> None:
        """Take a former owner's word on resources that this host owns.

        It comes again with every heartbeat, with lower figures. Words on
        other resources are dropped: by the time this host owns them, yet
        another host may have used them.
        """
        self.refresh(now)
        for handover in handovers:
            home = self._homes.get(handover.resource)
            if home is not None:
                hold_s = self._holds[handover.resource]
                home.ready[giver] = now + handover.ready_in_s
                home.lingering[giver] = (handover.in_use, now + hold_s)

    def list_handovers(
        self, describe_use: Callable[[str], tuple[int, float]], now: float
    ) -> list[Handover]:
        """Describe what this host owned until lately.

        All members are told, since another one may own a resource in
        their view; each takes only the word on what it owns. A resource is
        listed until nothing that this host started on it can be running.

        Args:
            describe_use: Tells how much of a resource is still in use and
                for how many seconds its new owner has to wait.
            now: Monotonic time in seconds.
        """
        self.refresh(now)
        handovers = []
        for resource, gift in list(self._gifts.items()):
            if now - gift.given_s > self._holds.get(resource, 0.0):
                del self._gifts[resource]
                continue
            in_use, wait_s = describe_use(resource)
            handovers.append(
                Handover(
                    resource,
                    in_use + gift.home.count_lingering(now),
                    max(0.0, gift.home.ready_s - now, wait_s),
                )
            )
        return handovers

    def _lose(self, resource: str, now: float) -> None:
        home = self._homes.pop(resource)
        owner = self._owners.get(resource)
        if owner is not None and resource in self._holds:
            self._gifts[resource] = _Gift(home, owner, now)

    def _gain(self, resource: str, saw_death: bool, now: float) -> None:
        self._gifts.pop(resource, None)
        hold_s = self._holds[resource]
        self._homes[resource] = _Home(
            default_s=now if self._starts_clean else now + hold_s,
            floor_s=now + hold_s if saw_death else now,
        )

    def _drop_gifts(self, names: list[str]) -> None:
        """Say nothing of what a host used that is gone.

        What it started is unknown here, and the next owner has to wait.
        """
        for resource, gift in list(self._gifts.items()):
            if gift.taker not in names:
                del self._gifts[resource]
