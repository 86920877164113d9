"""Which members are live, by their own heartbeats or samples of others."""

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


def test_member_stays_live_through_entries_relayed_by_others():
    table = make_table()
    for second in range(20):
        table.merge(member("far", counter=second), second * 1000.0)
    assert live(table, 19_000.0) == {"me", "far"}
    table.merge(member("far", counter=5), 30_000.0)
    assert live(table, 30_000.0) == {"me"}


def test_higher_incarnation_replaces_a_higher_counter():
    table = make_table()
    table.merge(member("a", counter=900, incarnation=1), 0.0)
    table.merge(member("a", counter=1, incarnation=2), LIVENESS_TIMEOUT_MS)
    table.merge(member("a", counter=901, incarnation=1), LIVENESS_TIMEOUT_MS * 1.5)
    assert live(table, LIVENESS_TIMEOUT_MS * 1.9) == {"me", "a"}
    assert table.other_members()[0].incarnation == 2


def test_listed_member_gets_heartbeats_but_is_live_only_once_confirmed():
    table = make_table()
    table.add_unconfirmed([member("a")], 0.0)
    assert live(table, 0.0) == {"me"}
    assert table.gossip_targets(3, 0.0) == ["a"]
    table.merge(member("a", counter=2), 10.0)
    assert live(table, 10.0) == {"me", "a"}


def test_leaving_member_is_not_live():
    table = make_table()
    table.merge(member("a"), 0.0)
    table.merge(member("a", counter=2, is_leaving=True), 1.0)
    assert live(table, 2.0) == {"me"}


def test_members_of_other_regions_are_limited_and_expired_ones_removed():
    table = make_table()
    for number in range(100):
        table.merge(member(f"x{number}", region="altai"), 0.0)
        table.merge(member(f"a{number}"), 0.0)
    assert len(table) == 100 + MEMBERS_PER_OTHER_REGION
    table.remove_expired(MEMBER_EXPIRY_MS + 1.0)
    assert len(table) == 0


def test_unconfirmed_members_are_recipients_until_their_timeout():
    table = MemberTable(member("me"), Random(1))
    far = [member(f"far-{n}", region="altai") for n in range(9)]
    table.add_unconfirmed([member("listed"), *far], 1000.0)
    table.merge(member("confirmed"), 1000.0)
    table.merge(member("leaving", is_leaving=True), 1000.0)
    recipients = [m.address for m in table.recipients(1000.0)]
    assert recipients == ["confirmed", "listed"]
    assert [m.address for m in table.recipients(5000.0)] == ["confirmed"]
