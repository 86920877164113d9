"""Latency quantile of a route."""

from random import Random

import pytest

from galenaferry.placing.latency import LatencyTracker


def p90_after(latencies):
    tracker = LatencyTracker()
    for latency in latencies:
        tracker.add(latency)
    return tracker.p90


def test_p90_is_zero_with_too_few_samples():
    assert p90_after([5.0] * 9) == 0.0


def test_under_a_tenth_exceed_twice_the_p90_of_twenty_samples():
    random = Random(1)
    p90 = p90_after(random.lognormvariate(6.1, 0.8) for _ in range(20))
    above = sum(random.lognormvariate(6.1, 0.8) > 2.0 * p90 for _ in range(1000))
    assert above < 100


def test_p90_follows_a_change():
    assert p90_after([100.0] * 200 + [300.0] * 64) == pytest.approx(300.0)
