"""Rows that disappear during an outage of the store or shortly after."""

from galenaferry.backends.messages import Instance
from galenaferry.discovery.registry import (
    RELIST_GRACE_MS,
    InstanceRegistry,
    StoreAvailability,
)

AVAILABLE = StoreAvailability(is_away=False, back_at=None)
AWAY = StoreAvailability(is_away=True, back_at=None)
SHORTLY_AFTER_OUTAGE = StoreAvailability(is_away=False, back_at=-500.0)
GRACE_END_MS = RELIST_GRACE_MS - 500.0
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
    registry.remove("i-1", SHORTLY_AFTER_OUTAGE, 0.0)
    unlisted = INSTANCE._replace(is_unlisted=True)
    assert registry.instances(GRACE_END_MS - 1.0) == (unlisted,)
    assert registry.next_expiry() == GRACE_END_MS
    assert registry.instances(GRACE_END_MS) == ()
    assert registry.next_expiry() is None


def test_entry_that_is_listed_again_stays():
    registry = make_registry()
    registry.remove("i-1", AWAY, 0.0)
    registry.put("i-1", INSTANCE)
    assert registry.instances(RELIST_GRACE_MS * 2.0) == (INSTANCE,)


def test_entry_removed_long_after_an_outage_is_dropped_at_once():
    registry = make_registry()
    registry.remove("i-1", StoreAvailability(False, back_at=-RELIST_GRACE_MS), 0.0)
    assert registry.instances(0.0) == ()


def test_a_leaving_instance_stays_leaving_when_an_older_row_returns():
    # After a restore the store may hold the row from before the announcement.
    registry = make_registry()
    registry.put("i-1", INSTANCE._replace(is_leaving=True, sequence=5))
    registry.put("i-1", INSTANCE._replace(sequence=4))
    assert registry.instances(0.0)[0].is_leaving
    registry.put("i-1", INSTANCE._replace(born=2, sequence=1))
    assert not registry.instances(0.0)[0].is_leaving


def test_a_removed_row_counts_again_only_after_a_newer_report():
    registry = make_registry()
    registry.put("i-1", INSTANCE._replace(sequence=5))
    registry.remove("i-1", AVAILABLE, 0.0)
    assert not registry.put("i-1", INSTANCE._replace(sequence=5))
    assert registry.instances(0.0) == ()
    assert registry.put("i-1", INSTANCE._replace(sequence=6))
    assert len(registry.instances(0.0)) == 1


def test_an_instance_started_again_under_its_id_is_used():
    registry = make_registry()
    registry.put("i-1", INSTANCE._replace(sequence=5, born=1))
    registry.remove("i-1", AVAILABLE, 0.0)
    assert registry.put("i-1", INSTANCE._replace(sequence=1, born=2))


def test_an_instance_missing_after_its_grace_period_has_left():
    registry = make_registry()
    registry.put("i-1", INSTANCE._replace(sequence=5))
    registry.remove("i-1", AWAY, 0.0)
    assert registry.instances(RELIST_GRACE_MS) == ()
    assert not registry.put("i-1", INSTANCE._replace(sequence=5))


def make_large_registry(removed):
    registry = InstanceRegistry()
    for number in range(10):
        registry.put(f"i-{number}", INSTANCE._replace(id=f"i-{number}"))
    for number in range(removed):
        registry.remove(f"i-{number}", SHORTLY_AFTER_OUTAGE, 0.0)
    return registry


def test_instances_that_left_while_a_few_vms_failed_to_read_are_not_used_any_more():
    registry = make_large_registry(removed=3)
    assert {i.id for i in registry.instances(0.0)} == {f"i-{n}" for n in range(3, 10)}
    registry.put("i-0", INSTANCE._replace(id="i-0"))
    assert len(registry.instances(1.0)) == 8
    assert len(registry.instances(GRACE_END_MS)) == 8


def test_instances_whose_rows_expired_in_an_outage_are_used_if_they_are_many():
    registry = make_large_registry(removed=4)
    assert len(registry.instances(GRACE_END_MS - 1.0)) == 10
    assert len(registry.instances(GRACE_END_MS)) == 6
