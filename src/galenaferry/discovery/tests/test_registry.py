"""Entries that disappear while the store is away."""

from galenaferry.backends.messages import Instance
from galenaferry.discovery.registry import (
    RELIST_GRACE_MS,
    InstanceRegistry,
    StoreAvailability,
)

CALM = StoreAvailability(is_unavailable=False, failed_at=None)
INSTANCE = Instance("10.0.0.1:80", "bookings", "north", False, "i-1")


def registry():
    registry = InstanceRegistry()
    registry.put("i-1", INSTANCE)
    return registry


def test_an_entry_that_is_removed_in_calm_is_gone_at_once():
    entries = registry()
    entries.remove("i-1", CALM, 0.0)
    assert entries.instances(0.0) == ()


def test_an_entry_that_lapsed_just_after_an_outage_is_kept_until_living_ones_are_back():
    entries = registry()
    entries.remove("i-1", StoreAvailability(False, failed_at=-500.0), 0.0)
    assert entries.instances(RELIST_GRACE_MS - 1.0) == (INSTANCE,)
    assert entries.next_expiry() == RELIST_GRACE_MS
    assert entries.instances(RELIST_GRACE_MS) == ()
    assert entries.next_expiry() is None


def test_an_entry_that_is_back_stays():
    entries = registry()
    entries.remove("i-1", StoreAvailability(True, failed_at=0.0), 0.0)
    entries.put("i-1", INSTANCE)
    assert entries.instances(RELIST_GRACE_MS * 2.0) == (INSTANCE,)


def test_an_outage_long_ago_keeps_nothing():
    entries = registry()
    entries.remove("i-1", StoreAvailability(False, failed_at=-10_000.0), 0.0)
    assert entries.instances(0.0) == ()
