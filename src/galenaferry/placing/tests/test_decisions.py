"""Which instance gets a request."""

from collections import Counter
from random import Random

import pytest

from galenaferry.backends.choice import Chosen, NoInstance
from galenaferry.placing.decisions import choose_option
from galenaferry.placing.tests.builders import ARCHIVE, BOOKING, QUERY, option


def chosen(options, wish=BOOKING, seed=1):
    choice = choose_option(options, wish, Random(seed))
    assert isinstance(choice, Chosen)
    return int(choice.instance.id.removeprefix("i-"))


def counts(options, wish=BOOKING):
    random = Random(1)
    drawn = Counter()
    for _ in range(300):
        drawn[choose_option(options, wish, random).instance.id] += 1
    return drawn


def test_no_instance_is_nothing():
    assert choose_option([], QUERY, Random(1)) == NoInstance()


def test_a_sick_instance_gets_nothing_while_others_are_well():
    options = [
        option(1, sick=0.9, failed_lately=True),
        option(2, is_own=False),
        option(3, is_own=False),
    ]
    assert set(counts(options)) == {"i-2", "i-3"}


def test_what_looks_better_than_usual_draws_no_crowd():
    options = [option(1, sick=0.01), option(2, sick=0.2), option(3, sick=0.24)]
    assert min(counts(options).values()) > 60


def test_only_a_trier_sends_to_an_instance_that_may_be_well_again():
    others = [option(number, is_own=False, in_flight=9) for number in range(2, 9)]
    suspect = option(1, sick=0.45, is_trier=True)
    assert chosen([suspect, *others]) == 1
    assert chosen([suspect._replace(is_trier=False), *others]) != 1


def test_a_trier_sends_one_request_at_a_time():
    others = [option(number, is_own=False, in_flight=9) for number in range(2, 9)]
    suspect = option(1, sick=0.45, is_trier=True, in_flight=1)
    assert chosen([suspect, *others]) != 1


def test_the_floor_admits_the_least_suspect_that_have_not_failed_lately():
    options = [option(1, in_flight=50)] + [
        option(n, sick=0.33 + n / 100.0, in_flight=n) for n in range(2, 11)
    ]
    drawn = set(counts(options))
    assert "i-2" in drawn
    assert "i-10" not in drawn


def test_an_instance_that_failed_lately_does_not_count_for_the_floor():
    options = [option(1)] + [
        option(n, sick=0.9, failed_lately=True) for n in range(2, 6)
    ]
    assert set(counts(options)) == {"i-1"}


def test_where_all_are_sick_the_least_sick_serves():
    options = [
        option(1, sick=0.95, failed_lately=True),
        option(2, sick=0.9, failed_lately=True),
    ]
    assert chosen(options) == 2


def test_an_instance_out_of_reach_is_used_only_where_all_are():
    assert chosen([option(1, is_avoided=True), option(2, sick=0.9)]) == 2
    assert chosen([option(1, is_avoided=True)]) == 1


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"is_warm": False}),
        ({}, {"is_own": False}),
        ({}, {"is_cold": True}),
        ({}, {"in_flight": 1}),
        ({"in_flight": 1}, {"in_flight": 3}),
    ],
)
def test_the_cheaper_of_two(better, worse):
    assert chosen([option(1, **worse), option(2, **better)]) == 2


def test_a_large_answer_stays_in_its_zone_and_a_small_one_may_cross():
    options = [option(1, is_remote=True), option(2, is_warm=False, in_flight=1)]
    assert chosen(options, ARCHIVE) == 2
    assert chosen(options, BOOKING) == 1
