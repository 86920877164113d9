"""When a VM may go on with the configuration that it has."""

from galenaferry.configuration.freshness import LEASE_MS, ConfigurationLease
from galenaferry.membership.messages import Freshness


def test_a_new_vm_holds_no_lease_before_it_has_read():
    lease = ConfigurationLease(0.0)
    assert not lease.is_held(1.0, 3)
    lease.on_read(1.0)
    assert lease.is_held(1.0 + LEASE_MS - 1.0, 3)
    assert not lease.is_held(1.0 + LEASE_MS, 3)


def test_hearsay_of_a_read_renews_by_its_age():
    lease = ConfigurationLease(0.0)
    lease.on_heartbeat("a", Freshness(3000, False), 10_000.0)
    assert lease.is_held(7000.0 + LEASE_MS - 1.0, 3)
    assert not lease.is_held(7000.0 + LEASE_MS, 3)
    assert lease.freshness(12_000.0).read_age == 5000


def test_the_fleet_goes_on_while_the_platform_is_down_for_everybody():
    lease = ConfigurationLease(0.0)
    lease.on_read(0.0)
    hours = 3 * 3600_000.0
    lease.on_read_failed()
    for name in ("a", "b"):
        lease.on_heartbeat(name, Freshness(int(hours), True), hours)
    assert lease.is_held(hours, 5)
    assert not lease.is_held(hours, 6)
    assert not lease.is_held(hours + 6000.0, 5)


def test_a_minority_that_is_cut_off_stops():
    lease = ConfigurationLease(0.0)
    lease.on_read(0.0)
    lease.on_read_failed()
    lease.on_heartbeat("a", Freshness(20_000, True), 20_000.0)
    assert not lease.is_held(20_000.0, 40)


def test_one_member_that_can_read_outweighs_the_outage():
    lease = ConfigurationLease(0.0)
    lease.on_read_failed()
    lease.on_heartbeat("a", Freshness(20_000, True), 20_000.0)
    lease.on_heartbeat("a", Freshness(0, False), 20_001.0)
    assert lease.is_held(20_001.0, 40)
