"""A fleet keeps to the request limits that instances name."""

import pytest

from galenaferry.placing.tests.limited_fleet import LimitedFleet


@pytest.mark.parametrize(("limit", "rate"), [(1.0, 140.0), (1.7, 140.0), (8.0, 700.0)])
def test_many_vms_do_not_exceed_the_limit_of_an_instance_in_sum(limit, rate):
    fleet = LimitedFleet(rate=rate)
    fleet.limit_by_id["i-3"] = limit
    fleet.run(20.0)
    assert fleet.excess(3) <= 0.0


def test_failing_siblings_do_not_push_their_load_onto_a_limited_instance():
    fleet = LimitedFleet()
    fleet.limit_by_id["i-3"] = 1.7
    fleet.failing_ids = {f"i-{number}" for number in range(4, 16)}
    fleet.run(20.0)
    assert fleet.excess(3) <= 0.0


@pytest.mark.parametrize("loss", [0.3, 1.0])
def test_lost_messages_do_not_break_a_limit(loss):
    fleet = LimitedFleet(rate=140.0, loss=loss)
    fleet.limit_by_id["i-3"] = 1.7
    fleet.run(40.0)
    assert fleet.excess(3) <= 0.0


@pytest.mark.parametrize("missing", [1, 9])
@pytest.mark.parametrize("limit", [1.0, 8.0])
def test_views_of_the_fleet_that_differ_do_not_break_a_limit(limit, missing):
    fleet = LimitedFleet(rate=140.0 * limit)
    fleet.set_views(
        lambda vm: set(fleet.vms) - set(fleet.random.sample(fleet.vms, missing))
    )
    fleet.limit_by_id["i-3"] = limit
    fleet.run(20.0)
    assert fleet.excess(3) <= 0.0


def test_vms_that_start_again_one_after_the_other_do_not_break_a_limit():
    fleet = LimitedFleet(rate=140.0)
    fleet.limit_by_id["i-3"] = 1.7
    for vm in fleet.vms[:20]:
        fleet.run(1.0)
        fleet.start(vm)
    assert fleet.excess(3) <= 0.0


def test_a_limit_outlasts_a_lapse_of_the_instance_in_the_list():
    fleet = LimitedFleet(rate=140.0)
    fleet.limit_by_id["i-3"] = 1.0
    fleet.run(10.0)
    for _ in range(4):
        fleet.list_instances(fleet.instances[4:])
        fleet.run(2.0)
        fleet.list_instances(fleet.instances)
        fleet.run(2.0)
    assert fleet.excess(3) <= 0.0


def test_a_limited_instance_beside_others_gets_most_of_what_it_takes():
    fleet = LimitedFleet(rate=140.0)
    fleet.limit_by_id["i-3"] = 2.0
    fleet.run(40.0)
    assert fleet.arrived(3, 30.0) >= 0.5 * 2.0 * 30.0
    assert fleet.excess(3) <= 0.0


def test_the_only_instance_of_a_service_gets_most_of_what_it_takes():
    fleet = LimitedFleet(instances=1, rate=20.0)
    fleet.limit_by_id["i-0"] = 2.0
    fleet.run(40.0)
    assert fleet.arrived(0, 30.0) >= 0.5 * 2.0 * 30.0
    assert fleet.excess(0) <= 0.0


def test_other_vms_take_over_from_holders_that_stopped():
    fleet = LimitedFleet(instances=1, rate=20.0)
    fleet.limit_by_id["i-0"] = 2.0
    fleet.run(10.0)
    limits = {vm: p.dump()["bookings"]["i-0@0"] for vm, p in fleet.placements.items()}
    for vm in [vm for vm, row in limits.items() if row["limit_share"]]:
        fleet.stop(vm)
    fleet.set_views(lambda vm: set(fleet.placements))
    fleet.run(20.0)
    assert fleet.arrived(0, 15.0) >= 0.5 * 2.0 * 15.0
    assert fleet.excess(0) <= 0.0


def test_a_limit_of_zero_leaves_only_the_requests_that_find_out_its_end():
    fleet = LimitedFleet(rate=140.0)
    fleet.limit_by_id["i-3"] = 0.0
    fleet.run(60.0)
    assert fleet.excess(3) <= 0.0
    assert fleet.arrived(3, 50.0) > 0


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_all_vms_use_an_instance_again_after_its_limit_ended(loss):
    fleet = LimitedFleet(rate=140.0, loss=loss)
    fleet.limit_by_id["i-3"] = 1.0
    fleet.run(10.0)
    del fleet.limit_by_id["i-3"]
    fleet.run(90.0)
    placements = fleet.placements.values()
    assert sum(placement.limited_count for placement in placements) == 0


def test_a_limit_that_falls_is_kept_soon():
    fleet = LimitedFleet(rate=700.0)
    fleet.limit_by_id["i-3"] = 10.0
    fleet.run(10.0)
    fleet.limit_by_id["i-3"] = 1.0
    fleet.run(5.0)
    fleet.run(20.0)
    assert fleet.arrived(3, 20.0) <= 1.5 * 1.0 * 20.0 + 5.0


def test_callers_are_refused_at_once_when_all_instances_are_limited():
    fleet = LimitedFleet(instances=3, rate=70.0)
    for number in range(3):
        fleet.limit_by_id[f"i-{number}"] = 2.0
    fleet.run(10.0)
    fleet.refused = 0
    fleet.run(20.0)
    taken = sum(fleet.arrived(number, 20.0) for number in range(3))
    assert taken >= 0.5 * 6.0 * 20.0
    assert fleet.refused == 1400 - taken
    assert max(fleet.excess(number) for number in range(3)) <= 0.0
    placement = next(iter(fleet.placements.values()))
    wait = placement.next_return("bookings") - fleet.clock.now()
    assert wait == pytest.approx(1000.0 / 6.0)
