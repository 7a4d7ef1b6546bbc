"""Hosts that are listed for clients as heartbeats arrive or stop."""

from __future__ import annotations

from tests import builders

from cowslipshift.steering import membership as memberships


def build_membership(*peers: str) -> memberships.Membership:
    membership = memberships.Membership(builders.build_member("h1"))
    for peer in peers:
        membership.set_member(peer, builders.build_member(peer), 0.0)
        membership.record_heartbeat(peer, 1, False, 0.0)
    return membership


def list_names(membership: memberships.Membership, now: float) -> set[str]:
    return {member.name for member in membership.list_usable(now)}


def test_silent_host_is_listed_no_longer_than_six_seconds() -> None:
    membership = build_membership("h2", "h3")
    membership.record_heartbeat("h3", 1, False, 3.0)
    assert list_names(membership, 4.0) == {"h1", "h3"}


def test_leaving_host_is_unlisted_at_once_until_it_restarts() -> None:
    membership = build_membership("h2")
    membership.record_heartbeat("h2", 1, True, 0.1)
    assert list_names(membership, 0.1) == {"h1"}
    again = builders.build_member("h2")
    again = type(again)(
        **{
            **{f: getattr(again, f) for f in again.__struct_fields__},
            "incarnation": 2,
        }
    )
    membership.set_member("h2", again, 5.0)
    membership.record_heartbeat("h2", 1, True, 5.1)
    membership.record_heartbeat("h2", 2, False, 5.1)
    assert list_names(membership, 5.2) == {"h1", "h2"}


def test_many_hosts_send_heartbeats_less_often() -> None:
    few = build_membership(*(f"p{n}" for n in range(9)))
    many = build_membership(*(f"p{n}" for n in range(84)))
    assert (
        few.get_heartbeat_interval() == memberships.BASE_HEARTBEAT_INTERVAL_S
    )
    assert 85 / many.get_heartbeat_interval() <= 51


def test_few_hosts_send_early_always_and_many_after_half_an_interval() -> None:
    few = build_membership(*(f"p{n}" for n in range(9)))
    many = build_membership(*(f"p{n}" for n in range(84)))
    assert few.may_send_early(0.0)
    assert not many.may_send_early(0.4 * many.get_heartbeat_interval())
    assert many.may_send_early(0.5 * many.get_heartbeat_interval())


def test_client_gets_hosts_of_its_region_or_else_any() -> None:
    own = builders.build_member("h1")
    far = builders.build_member("h2", "south")
    assert memberships.choose_public_addresses([own, far], "south", own) == [
        "h2:80"
    ]
    assert memberships.choose_public_addresses([own, far], "west", own) == [
        "h1:80",
        "h2:80",
    ]
    assert memberships.choose_public_addresses([], "west", own) == ["h1:80"]
