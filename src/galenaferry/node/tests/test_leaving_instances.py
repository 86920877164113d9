"""Instances that leave while some VMs can't read from the store."""

from random import Random

import pytest

from galenaferry.discovery.poll_timing import DELIVERY_MS
from galenaferry.node.tests.leaving_fleet import (
    SETTLE_MS,
    ids,
    let_leases_expire,
    list_instances,
    make_fleet,
    sweep_moments,
    used_after,
)

BOUNDS_MS = (1_000.0, 2_000.0, 5_000.0)
"""Drain timeouts of operators."""


@pytest.mark.parametrize("bound", BOUNDS_MS)
@pytest.mark.parametrize("leaving", [1, 3, 8])
def test_no_vm_uses_instances_past_the_drain_timeout_after_a_reader_was_refused(
    monkeypatch, bound, leaving
):
    fleet = make_fleet(monkeypatch, bound)
    refused = {fleet.readers()[0].host}
    assert sweep_moments(fleet, bound, refused, ids(leaving)) == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_uses_instances_past_the_drain_timeout_while_a_zone_is_refused(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    refused = {vm.host for vm in fleet.in_zone("zone-0")}
    assert sweep_moments(fleet, bound, refused, ids(3)) == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_uses_instances_past_the_drain_timeout_while_all_readers_are_refused(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound, zones=1)
    refused = {vm.host for vm in fleet.readers()}
    assert len(refused) < len(fleet.vms)
    assert sweep_moments(fleet, bound, refused, ids(3)) == {}


@pytest.mark.parametrize("seed", range(3))
def test_no_vm_uses_instances_past_the_drain_timeout_while_a_third_is_refused_for_long(
    monkeypatch, seed
):
    fleet = make_fleet(monkeypatch, 2_000.0)
    random = Random(seed)
    late = {}
    for number in range(2, 12):
        refused = random.sample(fleet.vms, 3)
        fleet.store.refused = {vm.host for vm in refused}
        fleet.run(random.uniform(0.0, 9_000.0))
        fleet.store.remove_rows("servers", ids(3))
        if hosts := used_after(fleet, ids(3), fleet.clock.now(), 2_000.0):
            late[number] = hosts
        fleet.store.refused = set()
        fleet.run(SETTLE_MS)
        list_instances(fleet, ids(3), number)
        fleet.run(1_000.0)
    assert late == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
@pytest.mark.parametrize("outage", [4_500.0, 9_000.0, 60_000.0])
def test_a_service_keeps_its_instances_when_their_leases_expired_in_an_outage(
    monkeypatch, bound, outage
):
    fleet = make_fleet(monkeypatch, bound)
    let_leases_expire(fleet, ids(8), outage)
    for _ in range(19):
        fleet.run(100.0)
        assert all(len(vm.used_ids) == 8 for vm in fleet.vms)
    list_instances(fleet, ids(8), 2)
    fleet.run(SETTLE_MS)
    assert all(len(vm.used_ids) == 8 for vm in fleet.vms)
    assert all(not vm.last_used_at for vm in fleet.vms)


def test_instances_that_are_not_listed_again_after_an_outage_have_left(monkeypatch):
    fleet = make_fleet(monkeypatch, 2_000.0)
    let_leases_expire(fleet, ids(8), 4_500.0)
    list_instances(fleet, ids(4), 2)
    fleet.run(SETTLE_MS)
    assert all(vm.used_ids == set(ids(4)) for vm in fleet.vms)


@pytest.mark.parametrize("seed", range(2))
def test_all_vms_hear_in_time_of_changes_that_closely_follow_each_other(
    monkeypatch, seed
):
    """Guards against zones whose readers keep the news of other zones for themselves."""
    fleet = make_fleet(monkeypatch, 2_000.0)
    random = Random(seed)
    late = {}
    for number in range(2, 40):
        # The readers of a zone then read at other times than those of the others.
        fleet.store.refused = {vm.host for vm in fleet.in_zone("zone-1")}
        fleet.run(random.uniform(0.0, 1_000.0))
        list_instances(fleet, ids(1), number)
        fleet.store.refused = set()
        interval = random.uniform(0.0, 400.0)
        fleet.run(interval)
        fleet.store.remove_rows("servers", ids(1, first=1))
        fleet.run(DELIVERY_MS)
        hosts = {vm.host for vm in fleet.vms if "i-1" in vm.used_ids}
        if hosts:
            late[interval] = hosts
        list_instances(fleet, ids(1, first=1), number)
        fleet.run(random.uniform(600.0, 1_600.0))
    assert late == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_the_end_of_all_readers_of_a_zone_is_no_outage_of_the_store(monkeypatch, bound):
    fleet = make_fleet(monkeypatch, bound, instances=1)
    random = Random(1)
    away = {}
    for number in range(8):
        ended = [vm for vm in fleet.in_zone("zone-0") if vm in fleet.readers()]
        for vm in ended:
            vm.is_stopped = True
            vm.tables.instances._reads.stop()
        back_at = {vm.host: vm.tables.instances.outages.back_at for vm in fleet.vms}
        fleet.run(2.0 * bound + random.uniform(0.0, 500.0))
        for vm in fleet.vms:
            is_running = not vm.is_stopped
            if is_running and vm.tables.instances.outages.back_at != back_at[vm.host]:
                away[number] = vm.host
        for vm in ended:
            fleet.restart(vm)
        fleet.run(SETTLE_MS)
    assert away == {}
