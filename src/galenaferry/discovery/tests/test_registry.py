"""Rows that disappear during an outage of the store or shortly after."""

from galenaferry.backends.messages import Instance
from galenaferry.discovery.registry import (
    RELIST_GRACE_MS,
    InstanceRegistry,
    StoreAvailability,
)

AVAILABLE = StoreAvailability(is_unavailable=False, failed_at=None)
INSTANCE = Instance("10.0.0.1:80", "bookings", "north", False, "i-1")


def make_registry():
    registry = InstanceRegistry()
    registry.put("i-1", INSTANCE)
    return registry


def test_entry_removed_while_the_store_is_available_is_dropped_at_once():
    registry = make_registry()
    registry.remove("i-1", AVAILABLE, 0.0)
    assert registry.instances(0.0) == ()


def test_entry_removed_shortly_after_an_outage_is_kept_for_the_grace_period():
    registry = make_registry()
    registry.remove("i-1", StoreAvailability(False, failed_at=-500.0), 0.0)
    assert registry.instances(RELIST_GRACE_MS - 1.0) == (INSTANCE,)
    assert registry.next_expiry() == RELIST_GRACE_MS
    assert registry.instances(RELIST_GRACE_MS) == ()
    assert registry.next_expiry() is None


def test_entry_that_is_listed_again_stays():
    registry = make_registry()
    registry.remove("i-1", StoreAvailability(True, failed_at=0.0), 0.0)
    registry.put("i-1", INSTANCE)
    assert registry.instances(RELIST_GRACE_MS * 2.0) == (INSTANCE,)


def test_entry_removed_long_after_an_outage_is_dropped_at_once():
    registry = make_registry()
    registry.remove("i-1", StoreAvailability(False, failed_at=-10_000.0), 0.0)
    assert registry.instances(0.0) == ()
