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
