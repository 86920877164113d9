"""VMs that know that they lack a configuration and can't get it in time."""

import json

import pytest

from galenaferry.discovery.messages import NO_VERSION, TableNotice
from galenaferry.framing.messages import RequestHead
from galenaferry.node.tests.configuration_fleet import ConfigurationFleet
from galenaferry.node.tests.test_configuration_fleet import APPLY_MS
from galenaferry.routing.table import LACKS_CHANGE, Route


def notice_with_version_in_force(version):
    """Return an announcement without changes."""
    return TableNotice(NO_VERSION, NO_VERSION, (), table="op", version_in_force=version)


def make_fleet_with_hanging_vms(monkeypatch, seed):
    """Return a fleet, three VMs of it that only get datagrams, and a routed request."""
    fleet = ConfigurationFleet(monkeypatch, seed=seed)
    fleet.change(2, 20)
    fleet.run(4_000.0)
    route = json.loads(fleet.store.value)["routes"][0]
    host = ((b"host", route["host"].encode()),)
    head = RequestHead(b"GET", route["prefix"].encode(), "1.1", host, 0, True, False)
    followers = [vm for vm in fleet.vms if not vm._is_designated_reader()]
    hanging = fleet.random.sample(followers, 3)
    fleet.hanging = {vm.host for vm in hanging}
    return fleet, hanging, head


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vms_that_know_of_a_change_and_lack_it_do_not_act_on_the_version_before(
    monkeypatch, seed
):
    fleet, hanging, head = make_fleet_with_hanging_vms(monkeypatch, seed)
    assert all(isinstance(vm.routes.route(head), Route) for vm in hanging)
    acked_at = fleet.change(5, 1_400)
    fleet.run(APPLY_MS)
    assert fleet.late(5, acked_at, APPLY_MS) == [
        vm.host for vm in fleet.vms if vm in hanging
    ]
    for _ in range(20):
        fleet.run(100.0)
        assert all(vm.routes.route(head) == LACKS_CHANGE for vm in hanging)


def test_vms_that_get_a_change_late_go_on_with_it(monkeypatch):
    fleet, hanging, _head = make_fleet_with_hanging_vms(monkeypatch, seed=1)
    fleet.change(5, 1_400)
    fleet.run(APPLY_MS + 2_000.0)
    fleet.hanging.clear()
    fleet.run(4_000.0)
    assert fleet.older_than(5) == []
    head = fleet.head_of_new_route
    assert all(isinstance(vm.routes.route(head), Route) for vm in hanging)


def test_vms_act_on_their_version_while_a_change_may_still_be_on_its_way(monkeypatch):
    fleet, hanging, head = make_fleet_with_hanging_vms(monkeypatch, seed=1)
    fleet.change(5, 1_400)
    for _ in range(10):
        fleet.run(100.0)
        assert all(isinstance(vm.routes.route(head), Route) for vm in hanging)


def test_news_of_the_store_alone_does_not_make_a_vm_refuse_its_routes(monkeypatch):
    # Another VM's table may be newer without any newer configuration.
    fleet, hanging, head = make_fleet_with_hanging_vms(monkeypatch, seed=1)
    fleet.store.put(fleet.store.value)
    for _ in range(60):
        fleet.run(100.0)
        assert all(isinstance(vm.routes.route(head), Route) for vm in hanging)


def test_a_version_that_no_vm_has_in_force_any_more_stops_no_requests(monkeypatch):
    # As after a restore of the store, when the VMs that had the change are gone.
    fleet, _hanging, head = make_fleet_with_hanging_vms(monkeypatch, seed=1)
    fleet.hanging.clear()
    vm = fleet.vms[0]
    vm.on_notice(fleet.vms[1], notice_with_version_in_force(99))
    fleet.run(4_000.0)
    for _ in range(60):
        fleet.run(100.0)
        assert isinstance(vm.routes.route(head), Route)
