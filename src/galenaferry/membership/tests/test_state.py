"""Live members by direct heartbeats and by hearsay."""

from random import Random

from galenaferry.membership.messages import Member
from galenaferry.membership.state import (
    LIVENESS_TIMEOUT_MS,
    MEMBER_EXPIRY_MS,
    MEMBERS_PER_OTHER_REGION,
    MemberTable,
)


def member(name, counter=1, incarnation=1, region="andes", is_leaving=False):
    return Member(name, incarnation, counter, "north", region, is_leaving, 0)


def make_table():
    return MemberTable(member("me"), Random(1))


def live(table, now):
    return {m.address for m in table.live(now)}


def test_hearsay_keeps_a_member_live_that_cannot_reach_us():
    table = make_table()
    for second in range(20):
        table.merge(member("far", counter=second), second * 1000.0)
    assert live(table, 19_000.0) == {"me", "far"}
    table.merge(member("far", counter=5), 30_000.0)
    assert live(table, 30_000.0) == {"me"}


def test_a_restarted_member_replaces_its_older_self():
    table = make_table()
    table.merge(member("a", counter=900, incarnation=1), 0.0)
    table.merge(member("a", counter=1, incarnation=2), LIVENESS_TIMEOUT_MS)
    table.merge(member("a", counter=901, incarnation=1), LIVENESS_TIMEOUT_MS * 1.5)
    assert live(table, LIVENESS_TIMEOUT_MS * 1.9) == {"me", "a"}
    assert table.other_members()[0].incarnation == 2


def test_a_listed_member_is_contacted_but_not_live_before_it_is_heard():
    table = make_table()
    table.add_unconfirmed([member("a")], 0.0)
    assert live(table, 0.0) == {"me"}
    assert table.gossip_targets(3, 0.0) == ["a"]
    table.merge(member("a", counter=2), 10.0)
    assert live(table, 10.0) == {"me", "a"}


def test_a_leaving_member_is_not_counted():
    table = make_table()
    table.merge(member("a"), 0.0)
    table.merge(member("a", counter=2, is_leaving=True), 1.0)
    assert live(table, 2.0) == {"me"}


def test_the_view_of_other_regions_is_bounded_and_silent_members_are_forgotten():
    table = make_table()
    for number in range(100):
        table.merge(member(f"x{number}", region="altai"), 0.0)
        table.merge(member(f"a{number}"), 0.0)
    assert len(table) == 100 + MEMBERS_PER_OTHER_REGION
    table.remove_expired(MEMBER_EXPIRY_MS + 1.0)
    assert len(table) == 0


def test_members_that_were_only_read_of_are_told_for_a_while():
    table = MemberTable(member("me"), Random(1))
    far = [member(f"far-{n}", region="altai") for n in range(9)]
    table.add_unconfirmed([member("read"), *far], 1000.0)
    table.merge(member("heard"), 1000.0)
    table.merge(member("gone", is_leaving=True), 1000.0)
    told = [m.address for m in table.recipients(1000.0)]
    assert told == ["heard", "read"]
    assert [m.address for m in table.recipients(5000.0)] == ["heard"]
