"""The usual latency of a class of work."""

from random import Random

import pytest

from galenaferry.placing.latency import UsualLatency


def after(latencies):
    usual = UsualLatency()
    for latency in latencies:
        usual.add(latency)
    return usual.bound


def test_few_answers_say_nothing():
    assert after([5.0] * 9) == 0.0


def test_a_tenth_of_widely_spread_answers_lies_above_soon_after_the_start():
    random = Random(1)
    bound = after(random.lognormvariate(6.1, 0.8) for _ in range(20))
    above = sum(random.lognormvariate(6.1, 0.8) > 2.0 * bound for _ in range(1000))
    assert above < 100


def test_it_follows_a_change():
    assert after([100.0] * 200 + [300.0] * 64) == pytest.approx(300.0)
