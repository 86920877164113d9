"""Notices of a change to all VMs of a zone, from readers on links of low bandwidth."""

import pytest

from galenaferry.node.tests.configuration_fleet import (
    LINK_QUEUE_BYTES,
    ConfigurationFleet,
)
from galenaferry.node.tests.test_configuration_fleet import APPLY_MS, ROUTES_IN_BULK


def make_large_fleet(monkeypatch, link_mbps, seed, nominal_mbps=None, fast_per_zone=0):
    """Return 90 VMs in four zones, all with a small configuration."""
    fleet = ConfigurationFleet(
        monkeypatch,
        vms=90,
        zones=4,
        link_mbps=link_mbps,
        seed=seed,
        queue_bytes=LINK_QUEUE_BYTES,
        nominal_mbps=nominal_mbps,
        fast_per_zone=fast_per_zone,
    )
    fleet.change(2, 20)
    fleet.run(5_000.0)
    assert fleet.older_than(2) == []
    return fleet


@pytest.mark.parametrize("seed", [1, 2])
def test_no_notice_is_dropped_by_the_link_of_the_vm_that_sends_it(monkeypatch, seed):
    fleet = make_large_fleet(monkeypatch, 10.0, seed)
    before = fleet.datagrams_dropped()
    acked_at = fleet.change(5, 21)
    fleet.run(APPLY_MS)
    assert fleet.datagrams_dropped() == before
    assert fleet.late(5, acked_at, APPLY_MS) == []


@pytest.mark.parametrize(("link_mbps", "gap"), [(3.2, 50.0), (3.5, 100.0)])
def test_a_small_change_is_in_force_in_time_though_bulk_routes_follow_it(
    monkeypatch, link_mbps, gap
):
    # What the traffic of callers leaves of links of 5 Mbit/s.
    fleet = make_large_fleet(monkeypatch, link_mbps, seed=1, nominal_mbps=5.0)
    acked_at = fleet.change(5, 21)
    fleet.run(gap)
    fleet.change(8, ROUTES_IN_BULK)
    fleet.run(acked_at + APPLY_MS - fleet.clock.now())
    assert fleet.older_than(5) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bulk_routes_are_in_force_in_time_where_some_vms_have_fast_links(
    monkeypatch, seed
):
    fleet = make_large_fleet(monkeypatch, 3.0, seed, nominal_mbps=10.0, fast_per_zone=2)
    acked_at = fleet.change(5, ROUTES_IN_BULK)
    fleet.run(APPLY_MS)
    assert fleet.late(5, acked_at, APPLY_MS) == []
