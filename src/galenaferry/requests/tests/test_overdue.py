"""Requests whose answer takes longer than usual."""

import pytest

from galenaferry.attempts.messages import Evidence
from galenaferry.requests.interface import RequestSettings
from galenaferry.requests.tests.builders import Bench, faulty, healthy

TIGHT = "[defaults]\ntotal_timeout_ms = 50\nmax_attempts = 1\n"
COUNTING = RequestSettings(do_sheds_count=True)


class Impatient:
    """Takes every overdue instance for sick."""

    def __init__(self, is_doubting=True):
        self.overdue = []
        self._is_doubting = is_doubting

    def overdue_after(self, route, target):
        return 20.0

    def on_overdue(self, instance):
        self.overdue.append(instance.address)

    def is_doubted(self, instance, waited):
        return self._is_doubting


def bench(modes, **parts):
    patience = Impatient(**parts)
    made = Bench(
        "[defaults]\nmax_attempts = 2\nretry_budget_percent = 100\n",
        modes=modes,
        settings=COUNTING,
        patience=patience,
    )
    return made, patience


def test_an_overdue_query_is_tried_elsewhere_once_its_instance_is_doubted():
    made, patience = bench([faulty(slow_factor=1000.0), healthy()])
    answers = [made.caller().get("/bookings/x").answers()[0][0] for _ in range(6)]
    assert answers == [200] * 6
    assert patience.overdue


def test_an_overdue_query_goes_to_no_more_instances_than_its_route_allows():
    made, _ = bench([faulty(slow_factor=1000.0) for _ in range(4)])
    made.caller().get("/bookings/x")
    made.run_for(3_000.0)
    pending = sum(p.in_flight for p in made.directory.pool_by_address.values())
    assert len(made.observer.evidence) + pending == 2


def test_an_overdue_booking_is_left_where_it_is():
    made, patience = bench([faulty(slow_factor=100.0), healthy()])
    answers = [made.caller().post("/bookings/x").answers()[0][0] for _ in range(6)]
    assert answers == [200] * 6
    assert made.executions() == 6
    assert patience.overdue


def test_without_doubt_an_overdue_query_is_left_too():
    made, patience = bench([faulty(slow_factor=100.0)], is_doubting=False)
    assert made.caller().get("/bookings/x").answers()[0][0] == 200
    assert len(patience.overdue) == 1


class TargetedRoutes:
    """Routes with a target latency."""

    def __init__(self, routes, target):
        self._routes = routes
        self._target = target

    def route(self, head):
        return self._routes.route(head)._replace(target_latency=self._target)


@pytest.mark.parametrize(
    ("target", "evidence"), [(2000.0, Evidence.NONE), (20.0, Evidence.FAILURE)]
)
def test_a_request_with_little_time_says_nothing_of_its_instance(target, evidence):
    made = Bench(TIGHT, modes=[faulty(silent_part=1.0)])
    made.context.routes = TargetedRoutes(made.context.routes, target)
    assert made.caller().post("/bookings/x").answers()[0][0] == 504
    assert [seen for _, seen in made.observer.evidence] == [evidence]
