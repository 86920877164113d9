"""Latency quantile of a route."""

from random import Random

import pytest

from galenaferry.placing.latency import MIN_SAMPLES, LatencyTracker


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


def test_the_longest_latency_to_expect_depends_on_the_spread():
    """Guards against one margin for services with even latencies and with outliers."""
    even, uneven = LatencyTracker(), LatencyTracker()
    for number in range(64):
        even.add(1_000.0)
        uneven.add(3_000.0 if number % 16 == 0 else 1_000.0)
    assert even.longest_expected() == 1_250.0
    assert uneven.longest_expected() == 5_000.0


def test_few_latencies_tell_nothing_of_the_longest():
    """Guards against an estimate from too few responses."""
    tracker = LatencyTracker()
    for _ in range(MIN_SAMPLES - 1):
        tracker.add(1_000.0)
    assert tracker.longest_expected() is None
