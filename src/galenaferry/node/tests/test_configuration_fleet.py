"""Configurations that reach all VMs of a fleet over slow links."""

import pytest

from galenaferry.discovery.messages import StoreVersion, TableNotice
from galenaferry.node.tests.configuration_fleet import ConfigurationFleet
from galenaferry.routing.table import NoRoute

APPLY_MS = 2_500.0
"""Time after the acknowledgement in which a configuration must be in force."""
IN_TOUCH_MS = 3_000.0
"""Time after which a VM whose connections were reset must keep its promises."""
ROUTES_IN_BULK = 1_400


def make_fleet(monkeypatch, **parts):
    """Return a fleet in which all VMs have a small configuration."""
    fleet = ConfigurationFleet(monkeypatch, **parts)
    fleet.change(2, 20)
    fleet.run(4_000.0)
    assert fleet.late(2, fleet.clock.now(), 0.0) == []
    return fleet


def news_of(counter):
    """Return a notice of a change whose rows are too large for it."""
    version = StoreVersion(0, counter)
    return TableNotice(version, version, (), table="op")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vms_that_the_store_turns_away_get_a_large_configuration(monkeypatch, seed):
    fleet = make_fleet(monkeypatch, seed=seed)
    turned_away = fleet.random.sample(fleet.vms, 8)
    fleet.store.refused = {vm.host for vm in turned_away}
    fleet.run(3_000.0)
    acked_at = fleet.change(5, ROUTES_IN_BULK)
    fleet.run(APPLY_MS + 3_000.0)
    assert fleet.late(5, acked_at, APPLY_MS) == []


def test_large_configurations_in_quick_succession_are_in_force_in_time(monkeypatch):
    fleet = make_fleet(monkeypatch)
    acked_at = {}
    for version in (5, 8, 12, 16):
        acked_at[version] = fleet.change(version, ROUTES_IN_BULK + version)
        fleet.run(1_000.0)
    fleet.run(APPLY_MS)
    assert fleet.late(16, acked_at[16], APPLY_MS) == []


def test_a_vm_gets_a_large_configuration_about_once(monkeypatch):
    fleet = make_fleet(monkeypatch)
    fleet.store.refused = {vm.host for vm in fleet.random.sample(fleet.vms, 8)}
    fleet.run(1_000.0)
    before = [fleet.network.link_by_host[vm.host].bytes_received for vm in fleet.vms]
    fleet.change(5, ROUTES_IN_BULK)
    fleet.run(APPLY_MS)
    received = sum(
        fleet.network.link_by_host[vm.host].bytes_received - count
        for vm, count in zip(fleet.vms, before, strict=True)
    )
    # Each reader reads the whole document; the others get it compressed.
    document = 374_000
    assert received < (6 + 0.25 * len(fleet.vms)) * document


def test_vms_that_know_of_a_newer_configuration_do_not_reject_its_callers(monkeypatch):
    fleet = make_fleet(monkeypatch)
    # No VM gets the rows, from the store or from others.
    acked_at = fleet.change(5, ROUTES_IN_BULK)
    fleet.store.refused = {vm.host for vm in fleet.vms}
    for vm in fleet.vms[1:]:
        vm.on_notice(fleet.vms[0], news_of(fleet.store.version))
    fleet.network.server_by_address.clear()
    rejecting = fleet.rejecting(5, acked_at, APPLY_MS)
    assert rejecting & {vm.host for vm in fleet.vms[1:]} == set()


def test_vms_that_hear_nothing_of_the_store_do_not_reject_callers(monkeypatch):
    fleet = make_fleet(monkeypatch)
    fleet.loss = 1.0
    fleet.store.silent = {vm.host for vm in fleet.vms}
    fleet.run(3_000.0)
    acked_at = fleet.change(5, 21)
    assert fleet.rejecting(5, acked_at, APPLY_MS) == set()


def test_vms_in_touch_say_that_there_is_no_route(monkeypatch):
    fleet = make_fleet(monkeypatch)
    unknown = fleet.head_of_new_route._replace(target=b"/none/")
    for _ in range(100):
        fleet.run(100.0)
        assert all(vm.routes.route(unknown) == NoRoute() for vm in fleet.vms)


@pytest.mark.parametrize("delay", [0.0, 1_000.0, 2_400.0, 4_500.0])
@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_change_is_in_force_though_polls_of_all_readers_of_a_zone_went_silent(
    monkeypatch, delay, loss
):
    fleet = make_fleet(monkeypatch, loss=loss)
    zone = {vm.host for vm in fleet.in_zone("zone-0")}
    fleet.store.silence_connections(zone)
    fleet.run(delay)
    acked_at = fleet.change(5, 100)
    fleet.run(APPLY_MS)
    assert fleet.late(5, acked_at, APPLY_MS) == []


@pytest.mark.parametrize("delay", [0.0, 3_000.0, 6_000.0])
def test_a_change_is_in_force_though_the_store_is_silent_to_all_readers_of_a_zone(
    monkeypatch, delay
):
    fleet = make_fleet(monkeypatch)
    fleet.store.silent = {vm.host for vm in fleet.readers()} & {
        vm.host for vm in fleet.in_zone("zone-0")
    }
    fleet.run(delay)
    acked_at = fleet.change(5, ROUTES_IN_BULK)
    fleet.run(APPLY_MS)
    assert fleet.late(5, acked_at, APPLY_MS) == []


def test_a_change_is_in_force_soon_after_the_polls_of_the_whole_fleet_went_silent(
    monkeypatch,
):
    fleet = make_fleet(monkeypatch)
    fleet.store.silence_connections({vm.host for vm in fleet.vms})
    fleet.run(IN_TOUCH_MS)
    acked_at = fleet.change(5, 100)
    fleet.run(APPLY_MS)
    assert fleet.late(5, acked_at, APPLY_MS) == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_vms_stay_sure_where_the_store_turns_the_readers_of_their_zone_away(
    monkeypatch, seed
):
    fleet = make_fleet(monkeypatch, seed=seed)
    fleet.store.refused = {
        vm.host for vm in fleet.in_zone("zone-0") if vm._is_designated_reader()
    }
    unknown = fleet.head_of_new_route._replace(target=b"/none/")
    for _ in range(500):
        fleet.run(20.0)
        unsure = [vm for vm in fleet.vms if vm.routes.route(unknown) != NoRoute()]
        assert unsure == []


def test_vms_stay_sure_while_a_reader_of_their_zone_starts_again(monkeypatch):
    fleet = make_fleet(monkeypatch)
    fleet.change(5, ROUTES_IN_BULK)
    fleet.run(4_000.0)
    # Changes of other tables; what the VM that starts reads has a newer version.
    fleet.store.version += 1_000
    fleet.run(6_000.0)
    started = fleet.restart(next(vm for vm in fleet.vms if vm._is_designated_reader()))
    others = [vm for vm in fleet.vms if vm is not started]
    unknown = fleet.head_of_new_route._replace(target=b"/none/")
    for _ in range(200):
        fleet.run(20.0)
        unsure = [vm for vm in others if vm.routes.route(unknown) != NoRoute()]
        assert unsure == []


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_vm_that_starts_before_a_store_restored_from_a_copy_does_not_reject_callers(
    monkeypatch, seed
):
    fleet = make_fleet(monkeypatch, seed=seed)
    older = fleet.store.value
    fleet.change(5, 30)
    fleet.run(4_000.0)
    # The store lacks the change again, which all VMs have in force.
    fleet.store.put(older)
    fleet.run(4_000.0)
    head = fleet.head_of_new_route
    for number in range(6):
        # Not at the moment of the announcements.
        fleet.run(130.0 * seed)
        started = fleet.restart(fleet.vms[number])
        for _ in range(100):
            fleet.run(10.0)
            assert started.routes.route(head) != NoRoute()
        fleet.run(2_000.0)
        assert started.routes.version == 5


def test_a_vm_that_starts_says_that_there_is_no_route_once_it_knows_of_others(
    monkeypatch,
):
    fleet = make_fleet(monkeypatch)
    started = fleet.restart(fleet.vms[3])
    fleet.run(3_000.0)
    unknown = fleet.head_of_new_route._replace(target=b"/none/")
    assert started.routes.route(unknown) == NoRoute()


def test_a_vm_alone_says_that_there_is_no_route_some_seconds_after_its_start(
    monkeypatch,
):
    fleet = make_fleet(monkeypatch, vms=3, zones=1)
    started = fleet.restart(fleet.vms[0])
    for vm in fleet.vms[1:]:
        vm.is_stopped = True
    fleet.run(3_500.0)
    unknown = fleet.head_of_new_route._replace(target=b"/none/")
    assert started.routes.route(unknown) == NoRoute()
