"""Entries that disappear while the store is away."""

from galenaferry.backends.messages import Instance
from galenaferry.discovery.registry import (
    RELISTED_WITHIN_MS,
    InstanceRegistry,
    StoreAccess,
)

CALM = StoreAccess(is_away=False, failed_at=None)
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
    entries.remove("i-1", StoreAccess(False, failed_at=-500.0), 0.0)
    assert entries.instances(RELISTED_WITHIN_MS - 1.0) == (INSTANCE,)
    assert entries.next_drop() == RELISTED_WITHIN_MS
    assert entries.instances(RELISTED_WITHIN_MS) == ()
    assert entries.next_drop() is None


def test_an_entry_that_is_back_stays():
    entries = registry()
    entries.remove("i-1", StoreAccess(True, failed_at=0.0), 0.0)
    entries.put("i-1", INSTANCE)
    assert entries.instances(RELISTED_WITHIN_MS * 2.0) == (INSTANCE,)


def test_an_outage_long_ago_keeps_nothing():
    entries = registry()
    entries.remove("i-1", StoreAccess(False, failed_at=-10_000.0), 0.0)
    assert entries.instances(0.0) == ()
