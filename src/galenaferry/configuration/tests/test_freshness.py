"""Conditions under which a VM holds the lease on its configuration."""

from random import Random

from galenaferry.configuration.freshness import LEASE_MS, ConfigurationLease
from galenaferry.membership.messages import Freshness, Member
from galenaferry.membership.state import MEMBER_EXPIRY_MS, MemberTable

THREE_HOURS_MS = 3 * 3600_000.0


def test_a_new_vm_holds_no_lease_before_its_first_read():
    lease = ConfigurationLease()
    assert not lease.is_held(1.0, False)
    lease.on_read_succeeded(1.0)
    assert lease.is_held(1.0 + LEASE_MS - 1.0, False)
    assert not lease.is_held(1.0 + LEASE_MS, False)


def test_a_read_reported_by_a_heartbeat_renews_the_lease_by_its_age():
    lease = ConfigurationLease()
    lease.on_heartbeat(Freshness(3000), 10_000.0)
    assert lease.is_held(7000.0 + LEASE_MS - 1.0, False)
    assert not lease.is_held(7000.0 + LEASE_MS, False)
    assert lease.freshness(12_000.0).read_age == 5000


def test_a_confirmed_outage_counts_only_for_a_vm_that_cannot_read_either():
    lease = ConfigurationLease()
    assert not lease.is_held(THREE_HOURS_MS, True)
    lease.on_read_failed()
    assert lease.is_held(THREE_HOURS_MS, True)


def member(name, region="andes", counter=1, is_down=True):
    return Member(name, 1, counter, "north", region, False, 0, is_down)


def make_member_table(others, now=0.0):
    table = MemberTable(member("me"), Random(1))
    for other in others:
        table.merge(other, now)
    return table


def member_addresses(count):
    return frozenset(f"m{n}" for n in range(count))


def test_an_outage_is_confirmed_while_a_majority_reports_the_platform_down():
    listed = member_addresses(39) | {"me"}
    most = make_member_table([member(f"m{n}") for n in range(20)])
    assert most.is_outage_confirmed(listed, 0.0)
    half = make_member_table([member(f"m{n}") for n in range(19)])
    assert not half.is_outage_confirmed(listed, 0.0)


def test_a_partitioned_minority_stays_a_minority_after_the_others_have_expired():
    listed = member_addresses(39) | {"me"}
    table = make_member_table([member(f"m{n}", is_down=False) for n in range(39)])
    now = MEMBER_EXPIRY_MS * 2.0
    table.remove_expired(now)
    for n in range(4):
        table.merge(member(f"m{n}", counter=9), now)
    assert not table.is_outage_confirmed(listed, now)


def test_one_partitioned_region_is_no_majority_of_regions():
    own = [member(f"m{n}") for n in range(30)]
    far = [
        member(f"{region}{n}", region, is_down=False)
        for region in ("altai", "tien")
        for n in range(4)
    ]
    table = make_member_table(own + far)
    assert not table.is_outage_confirmed(member_addresses(30), 0.0)
    now = MEMBER_EXPIRY_MS * 2.0
    table.remove_expired(now)
    for one in own:
        table.merge(one._replace(counter=9), now)
    assert not table.is_outage_confirmed(member_addresses(30), now)
    for one in far:
        table.merge(one._replace(counter=9, is_platform_down=True), now)
    assert table.is_outage_confirmed(member_addresses(30), now)


def test_a_newer_heartbeat_updates_the_reported_platform_state():
    table = make_member_table([member("m0", is_down=False)])
    table.merge(member("m0", counter=2), 1.0)
    assert table.is_outage_confirmed(member_addresses(1) | {"me"}, 1.0)
