"""Ownership of a data centre's resources, and how much of each is usable.

Owners follow from the membership by rendezvous hashing. A host that gains a
resource may not use it before the former owner has stopped: either the
former owner hands it over and reports how much is still in use, or the hold
time passes, after which nothing of the former owner can be running. After
the failure of a member only the hold time counts, as it cannot hand over.
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
    """Report of a former owner on a resource that it no longer owns.

    Attributes:
        resource: Name of the resource.
        in_use: Units of it that the former owner still uses.
        ready_in_s: Seconds that the next owner has to wait before it uses
            the resource.
    """

    resource: str
    in_use: int
    ready_in_s: float


class _OwnedResource:
    """A resource that this host owns.

    Times are monotonic times in seconds.

    Attributes:
        default_ready_s: Time from which it may be used if no former owner
            reports.
        earliest_ready_s: Time before which it may not be used, whatever
            former owners report.
        reported_ready_s: Time from which it may be used, by former owner
            that reported.
        former_use: Units that each former owner may still use, and until
            when.
    """

    __slots__ = (
        "default_ready_s",
        "earliest_ready_s",
        "former_use",
        "reported_ready_s",
    )

    def __init__(
        self, default_ready_s: float, earliest_ready_s: float
    ) -> None:
        self.default_ready_s = default_ready_s
        self.earliest_ready_s = earliest_ready_s
        self.reported_ready_s: dict[str, float] = {}
        self.former_use: dict[str, tuple[int, float]] = {}

    @property
    def ready_s(self) -> float:
        """Time from which the resource may be used."""
        reported_s = max(
            self.reported_ready_s.values(), default=self.default_ready_s
        )
        return max(reported_s, self.earliest_ready_s)

    def count_former_use(self, now: float) -> int:
        """Return the units that former owners may still use."""
        for former_owner, (_, until_s) in list(self.former_use.items()):
            if until_s <= now:
                del self.former_use[former_owner]
        return sum(in_use for in_use, _ in self.former_use.values())


class _ReleasedResource:
    """A resource that this host no longer owns.

    Attributes:
        owned: State of the resource when this host lost it.
        new_owner: The next owner in this host's view.
        released_s: Monotonic time in seconds at which this host lost it.
    """

    __slots__ = ("new_owner", "owned", "released_s")

    def __init__(
        self, owned: _OwnedResource, new_owner: str, released_s: float
    ) -> None:
        self.owned = owned
        self.new_owner = new_owner
        self.released_s = released_s


class OwnershipTable:
    """Owners of a data centre's resources, and what this host may use.

    Args:
        membership: Membership view that ownership follows.
        started_clean: Whether nothing that an earlier process of this host
            started can still be running.
    """

    def __init__(
        self, membership: members.MembershipView, started_clean: bool
    ) -> None:
        self._membership = membership
        self._started_clean = started_clean
        self._incarnation = membership.incarnation
        self._hold_times_s: dict[str, float] = {}
        self._owned: dict[str, _OwnedResource] = {}
        self._owners: dict[str, str] = {}
        self._released: dict[str, _ReleasedResource] = {}
        self._epoch = -1
        self._failures = 0

    def set_resources(
        self, hold_times_s: dict[str, float], now: float
    ) -> None:
        """Set the resources of the data centre.

        Args:
            hold_times_s: For each resource the seconds after which nothing
                that a former owner started can still be running.
            now: Monotonic time in seconds.
        """
        self._hold_times_s = dict(hold_times_s)
        self._epoch = -1
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Update the owners if the membership has changed."""
        if self._epoch == self._membership.epoch:
            return
        self._epoch = self._membership.epoch
        if self._incarnation != self._membership.incarnation:
            self._incarnation = self._membership.incarnation
            self._owned.clear()
            self._released.clear()
        names = self._membership.list_members()
        self._owners = {
            resource: hashing.rank_members(resource, names)[0]
            for resource in self._hold_times_s
            if names
        }
        owned_names = {
            resource
            for resource, owner in self._owners.items()
            if owner == self._membership.host
        }
        saw_failure = self._failures != self._membership.failures
        self._failures = self._membership.failures
        self._drop_released(names)
        if saw_failure and not self._membership.has_settled:
            for resource, owned in self._owned.items():
                owned.earliest_ready_s = now + self._hold_times_s.get(
                    resource, 0.0
                )
        for resource in self._owned.keys() - owned_names:
            self._release(resource, now)
        for resource in owned_names - self._owned.keys():
            self._acquire(resource, saw_failure, now)
        self._started_clean = False

    def find_owner(self, resource: str, now: float) -> str | None:
        """Return the owner of a resource, or ``None`` if there is none."""
        self.refresh(now)
        return self._owners.get(resource)

    def count_usable(self, resource: str, total: int, now: float) -> int:
        """Return how much of a resource this host may have in use.

        Args:
            resource: The resource.
            total: Its size in units, such as a backend server's slots.
            now: Monotonic time in seconds.
        """
        if not self.may_act(now):
            return 0
        return self.count_owned(resource, total, now)

    def may_act(self, now: float) -> bool:
        """Return whether this host may use what it owns at present."""
        return self._membership.may_act(now)

    def count_owned(self, resource: str, total: int, now: float) -> int:
        """Return the usable units, provided that this host may act."""
        self.refresh(now)
        owned = self._owned.get(resource)
        if owned is None or now < owned.ready_s:
            return 0
        if not owned.former_use:
            return total
        return max(0, total - owned.count_former_use(now))

    def is_active_owner(self, resource: str, now: float) -> bool:
        """Return whether this host owns a resource and may use it now."""
        return self.count_usable(resource, 1, now) > 0

    def list_owned(self, now: float) -> list[str]:
        """Return the resources that this host owns, usable or not."""
        self.refresh(now)
        return sorted(self._owned)

    def has_pending(self, now: float) -> bool:
        """Return whether a resource of this host is not fully usable yet."""
        return any(
            owned.ready_s > now or owned.count_former_use(now)
            for owned in self._owned.values()
        )

    def accept_handovers(
        self, former_owner: str, handovers: Iterable[Handover], now: float
    ) -> None:
        """Record a former owner's reports on resources of this host.

        Reports are repeated with every heartbeat, with lower figures. Those
        on other resources are ignored: by the time this host owns them,
        a third host may have used them.
        """
        self.refresh(now)
        for handover in handovers:
            owned = self._owned.get(handover.resource)
            if owned is not None:
                hold_s = self._hold_times_s[handover.resource]
                owned.reported_ready_s[former_owner] = (
                    now + handover.ready_in_s
                )
                owned.former_use[former_owner] = (
                    handover.in_use,
                    now + hold_s,
                )

    def list_handovers(
        self, describe_use: Callable[[str], tuple[int, float]], now: float
    ) -> list[Handover]:
        """Return reports on the resources that this host owned recently.

        They go to all members, since the owner of a resource may differ
        between their views; each uses only the reports on its own
        resources. A resource is listed until nothing that this host started
        on it can be running.

        Args:
            describe_use: Returns how many units of a resource are still in
                use and for how many seconds its new owner has to wait.
            now: Monotonic time in seconds.
        """
        self.refresh(now)
        handovers = []
        for resource, released in list(self._released.items()):
            if now - released.released_s > self._hold_times_s.get(
                resource, 0.0
            ):
                del self._released[resource]
                continue
            in_use, wait_s = describe_use(resource)
            handovers.append(
                Handover(
                    resource,
                    in_use + released.owned.count_former_use(now),
                    max(0.0, released.owned.ready_s - now, wait_s),
                )
            )
        return handovers

    def _release(self, resource: str, now: float) -> None:
        owned = self._owned.pop(resource)
        owner = self._owners.get(resource)
        if owner is not None and resource in self._hold_times_s:
            self._released[resource] = _ReleasedResource(owned, owner, now)

    def _acquire(self, resource: str, saw_failure: bool, now: float) -> None:
        self._released.pop(resource, None)
        hold_s = self._hold_times_s[resource]
        self._owned[resource] = _OwnedResource(
            default_ready_s=now if self._started_clean else now + hold_s,
            earliest_ready_s=now + hold_s if saw_failure else now,
        )

    def _drop_released(self, names: list[str]) -> None:
        """Stop reporting on resources whose new owner is no longer a member.

        What that host started is unknown here, so that the next owner has
        to wait for the hold time.
        """
        for resource, released in list(self._released.items()):
            if released.new_owner not in names:
                del self._released[resource]
