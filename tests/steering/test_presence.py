"""Which hosts are named to callers, as words arrive or stop."""

from __future__ import annotations

from tests import builders

from cowslipshift.steering import presence as presences


def build_presence(*peers: str) -> presences.Presence:
    presence = presences.Presence(builders.build_member("h1"))
    for peer in peers:
        presence.set_member(peer, builders.build_member(peer), 0.0)
        presence.note_heard(peer, 1, False, 0.0)
    return presence


def list_names(presence: presences.Presence, now: float) -> set[str]:
    return {member.name for member in presence.list_usable(now)}


def test_silent_host_is_named_no_longer_than_six_seconds() -> None:
    presence = build_presence("h2", "h3")
    presence.note_heard("h3", 1, False, 3.0)
    assert list_names(presence, 4.0) == {"h1", "h3"}


def test_leaving_host_is_out_at_once_and_back_when_it_starts_anew() -> None:
    presence = build_presence("h2")
    presence.note_heard("h2", 1, True, 0.1)
    assert list_names(presence, 0.1) == {"h1"}
    again = builders.build_member("h2")
    again = type(again)(
        **{
            **{f: getattr(again, f) for f in again.__struct_fields__},
            "incarnation": 2,
        }
    )
    presence.set_member("h2", again, 5.0)
    presence.note_heard("h2", 1, True, 5.1)
    presence.note_heard("h2", 2, False, 5.1)
    assert list_names(presence, 5.2) == {"h1", "h2"}


def test_many_hosts_speak_less_often() -> None:
    few = build_presence(*(f"p{n}" for n in range(9)))
    many = build_presence(*(f"p{n}" for n in range(84)))
    assert few.get_interval() == presences.BASE_INTERVAL_S
    assert 85 / many.get_interval() <= 51


def test_few_hosts_hurry_at_will_and_many_twice_in_an_interval() -> None:
    few = build_presence(*(f"p{n}" for n in range(9)))
    many = build_presence(*(f"p{n}" for n in range(84)))
    assert few.may_hurry(0.0)
    assert not many.may_hurry(0.4 * many.get_interval())
    assert many.may_hurry(0.5 * many.get_interval())


def test_caller_gets_hosts_of_its_region_or_else_any() -> None:
    own = builders.build_member("h1")
    far = builders.build_member("h2", "south")
    assert presences.choose_fronts([own, far], "south", own) == ["h2:80"]
    assert presences.choose_fronts([own, far], "west", own) == [
        "h1:80",
        "h2:80",
    ]
    assert presences.choose_fronts([], "west", own) == ["h1:80"]
