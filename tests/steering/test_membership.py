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


# Guards against a host that the store turns away being forgotten by the
# others, which then send it no heartbeats and no changes.
def test_unregistered_host_is_kept_until_its_heartbeats_stop() -> None:
    membership = build_membership("h2", "h3")
    for now in (1.0, 2.0):
        membership.record_heartbeat("h2", 1, False, now)
        membership.record_heartbeat("h3", 1, False, now)
    membership.set_member("h2", None, 2.0)
    assert membership.drop_unregistered(2.1) == []
    assert list_names(membership, 2.1) == {"h1", "h2", "h3"}
    membership.record_heartbeat("h3", 1, False, 4.0)
    assert membership.drop_unregistered(4.1) == ["h2"]
    assert {m.name for m in membership.list_peers()} == {"h3"}


def test_silent_or_leaving_host_is_dropped_with_its_registration() -> None:
    membership = build_membership("h2", "h3")
    membership.record_heartbeat("h2", 1, True, 1.0)
    membership.set_member("h2", None, 1.0)
    membership.set_member("h3", None, 3.0)
    assert membership.list_peers() == []


def test_host_that_registers_again_is_not_dropped_when_silent() -> None:
    membership = build_membership("h2")
    membership.set_member("h2", None, 1.0)
    membership.set_member("h2", builders.build_member("h2"), 1.5)
    assert membership.drop_unregistered(9.0) == []
    assert [m.name for m in membership.list_peers()] == ["h2"]


# Guards against hosts that send callers to a dead one, as the store has come
# back from a copy that still has its announcement.
def test_former_host_is_unlisted_until_it_is_heard() -> None:
    membership = build_membership("h2")
    membership.set_member("h2", None, 4.0)
    assert list_names(membership, 4.0) == {"h1"}
    membership.set_member("h2", builders.build_member("h2"), 5.0)
    assert list_names(membership, 5.0) == {"h1"}
    membership.record_heartbeat("h2", 1, False, 5.2)
    assert list_names(membership, 5.2) == {"h1", "h2"}


def test_number_of_remembered_hosts_is_bounded() -> None:
    membership = build_membership()
    for number in range(2 * memberships.MAX_FORMER_HOSTS):
        name = f"h{number + 2}"
        membership.set_member(name, builders.build_member(name), 0.0)
        membership.set_member(name, None, 4.0)
    assert len(membership._former) == memberships.MAX_FORMER_HOSTS
