"""Requests whose response takes longer than usual."""

import pytest

from galenaferry.attempts.messages import Evidence
from galenaferry.requests.interface import RequestSettings
from galenaferry.requests.tests.builders import Bench, faulty, healthy

SHORT_TIMEOUT = "[defaults]\ntotal_timeout_ms = 50\nmax_attempts = 1\n"
SHEDS_COUNTED = RequestSettings(is_shed_counted_as_attempt=True)


class FixedOverduePolicy:
    """Policy with a fixed threshold and a fixed decision about overdue attempts."""

    def __init__(self, is_unresponsive=True):
        self.overdue = []
        self._is_unresponsive = is_unresponsive

    def overdue_after(self, route):
        return 20.0

    def on_overdue(self, instance):
        self.overdue.append(instance.address)

    def is_unresponsive(self, instance, wait_ratio):
        return self._is_unresponsive


def make_bench(modes, **parts):
    policy = FixedOverduePolicy(**parts)
    bench = Bench(
        "[defaults]\nmax_attempts = 2\nretry_budget_percent = 100\n",
        modes=modes,
        settings=SHEDS_COUNTED,
        overdue_policy=policy,
    )
    return bench, policy


def test_an_overdue_query_is_retried_if_its_instance_is_unresponsive():
    bench, policy = make_bench([faulty(slow_factor=1000.0), healthy()])
    answers = [bench.caller().get("/bookings/x").answers()[0][0] for _ in range(6)]
    assert answers == [200] * 6
    assert policy.overdue


def test_retries_of_an_overdue_query_respect_max_attempts():
    bench, _ = make_bench([faulty(slow_factor=1000.0) for _ in range(4)])
    bench.caller().get("/bookings/x")
    bench.run_for(3_000.0)
    pending = sum(p.in_flight for p in bench.directory.pool_by_address.values())
    assert len(bench.observer.evidence) + pending == 2


def test_an_overdue_booking_is_not_retried():
    bench, policy = make_bench([faulty(slow_factor=100.0), healthy()])
    answers = [bench.caller().post("/bookings/x").answers()[0][0] for _ in range(6)]
    assert answers == [200] * 6
    assert bench.executions() == 6
    assert policy.overdue


def test_an_overdue_query_is_not_retried_if_its_instance_is_responsive():
    bench, policy = make_bench([faulty(slow_factor=100.0)], is_unresponsive=False)
    assert bench.caller().get("/bookings/x").answers()[0][0] == 200
    assert len(policy.overdue) == 1


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
def test_a_timeout_below_the_target_latency_is_no_evidence(target, evidence):
    bench = Bench(SHORT_TIMEOUT, modes=[faulty(silent_part=1.0)])
    bench.context.routes = TargetedRoutes(bench.context.routes, target)
    assert bench.caller().post("/bookings/x").answers()[0][0] == 504
    assert [seen for _, seen in bench.observer.evidence] == [evidence]
