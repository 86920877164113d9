"""Changes right after all connections of the fleet to the store went silent.

New connections work. A VM must notice in time that it hears nothing.
"""

import pytest

from galenaferry.node.tests.configuration_fleet import ConfigurationFleet
from galenaferry.routing.table import Route

STEP_MS = 50.0
BOUNDS_MS = (2_000.0, 2_500.0, 3_000.0)
"""Times of the operators within which a change must be in force on all VMs."""
LONGEST_POLL_MS = 2_500.0


def make_fleet(monkeypatch, bound):
    """Return a small fleet in which all VMs have a configuration."""
    fleet = ConfigurationFleet(
        monkeypatch, vms=8, zones=2, link_mbps=1_000.0, configuration_timeout=bound
    )
    fleet.change(1, 20)
    fleet.run(4_000.0)
    return fleet


def silence(fleet):
    """Let the pending calls of all VMs to the store go silent."""
    fleet.store.silence_connections({vm.host for vm in fleet.vms})


def steps(until):
    return [STEP_MS * number for number in range(int(until / STEP_MS) + 1)]


def late_vms(fleet, bound, silences, hosts):
    """Return the VMs that were late to have a change, by the silence before it.

    ``silences`` are pairs of the age of the reads of ``hosts`` when they go silent and
    the time from then on to the change.
    """
    late = {}
    for version, (age, silent_for) in enumerate(silences, start=2):
        fleet.run(age)
        fleet.store.silence_connections(hosts)
        fleet.run(silent_for)
        acked_at = fleet.change(version, 20)
        fleet.run(bound)
        if found := fleet.late(version, acked_at, bound):
            late[age, silent_for] = found
        fleet.run(3_000.0)
    return late


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_acts_on_the_version_before_however_long_the_silence_before_a_change(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    silences = [(200.0, silent_for) for silent_for in steps(bound)]
    hosts = {vm.host for vm in fleet.vms}
    assert late_vms(fleet, bound, silences, hosts) == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_acts_on_the_version_before_whatever_the_age_of_its_silent_reads(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    silences = [(age, STEP_MS) for age in steps(LONGEST_POLL_MS)]
    hosts = {vm.host for vm in fleet.vms}
    assert late_vms(fleet, bound, silences, hosts) == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_says_404_for_an_added_route_after_its_reads_went_silent(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    rejecting = {}
    for version, silent_for in enumerate(steps(bound)[::5], start=2):
        fleet.run(200.0)
        # No VM hears of the store, nor of another VM that does.
        fleet.store.silent = {vm.host for vm in fleet.vms}
        silence(fleet)
        fleet.run(silent_for)
        acked_at = fleet.change(version, 20)
        if hosts := fleet.rejecting(version, acked_at, bound):
            rejecting[silent_for] = hosts
        fleet.store.silent = set()
        fleet.run(6_000.0)
    assert rejecting == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_every_vm_learns_in_time_that_an_instance_leaves_after_its_reads_went_silent(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    late = {}
    for number, silent_for in enumerate(steps(bound)[::2]):
        fleet.store.put_row("servers", f"i-{number}", b"joins")
        fleet.run(800.0)
        silence(fleet)
        fleet.run(silent_for)
        fleet.store.put_row("servers", f"i-{number}", b"leaves")
        fleet.run(bound)
        rows = [vm.tables.instances.value_by_key[f"i-{number}"] for vm in fleet.vms]
        if set(rows) != {b"leaves"}:
            late[silent_for] = rows
        fleet.run(3_000.0)
    assert late == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_a_zone_learns_in_time_of_a_change_after_the_reads_of_its_readers_went_silent(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    silences = [(200.0, silent_for) for silent_for in steps(bound)[::5]]
    hosts = {vm.host for vm in fleet.in_zone("zone-0")}
    assert late_vms(fleet, bound, silences, hosts) == {}


@pytest.mark.parametrize("bound", BOUNDS_MS)
def test_no_vm_acts_on_the_version_before_though_no_vm_hears_of_the_others(
    monkeypatch, bound
):
    fleet = make_fleet(monkeypatch, bound)
    late = {}
    for version, silent_for in enumerate(steps(bound)[::3], start=2):
        fleet.loss = 1.0
        fleet.run(100.0 + silent_for)
        silence(fleet)
        acked_at = fleet.change(version, 20)
        fleet.run(bound)
        if hosts := fleet.late(version, acked_at, bound):
            late[silent_for] = hosts
        fleet.loss = 0.0
        fleet.run(3_000.0)
    assert late == {}


def test_first_routes_are_served_through_a_long_silence_of_the_store(monkeypatch):
    fleet = make_fleet(monkeypatch, 2_000.0)
    head = fleet.head_of_new_route
    fleet.store.silent = {vm.host for vm in fleet.vms}
    silence(fleet)
    for _ in range(60):
        fleet.run(1_000.0)
        assert all(isinstance(vm.routes.route(head), Route) for vm in fleet.vms)
    fleet.store.silent = set()
    fleet.run(3_000.0)
    acked_at = fleet.change(2, 20)
    fleet.run(2_000.0)
    assert fleet.late(2, acked_at, 2_000.0) == []
