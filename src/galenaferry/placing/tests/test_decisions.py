"""Choice of the instance for a request."""

from collections import Counter
from random import Random

import pytest

from galenaferry.backends.choice import Chosen, NoInstance
from galenaferry.placing.decisions import choose_instance
from galenaferry.placing.tests.builders import ARCHIVE, BOOKING, QUERY, candidate


def chosen_number(candidates, request=BOOKING, seed=1):
    choice = choose_instance(candidates, request, Random(seed))
    assert isinstance(choice, Chosen)
    return int(choice.instance.id.removeprefix("i-"))


def choice_counts(candidates, request=BOOKING):
    random = Random(1)
    chosen = Counter()
    for _ in range(300):
        chosen[choose_instance(candidates, request, random).instance.id] += 1
    return chosen


def test_no_candidates_give_no_instance():
    assert choose_instance([], QUERY, Random(1)) == NoInstance()


def test_sick_instance_gets_no_requests_while_others_are_healthy():
    candidates = [
        candidate(1, sick_probability=0.9, has_recent_failure=True),
        candidate(2, has_owned_slot=False),
        candidate(3, has_owned_slot=False),
    ]
    assert set(choice_counts(candidates)) == {"i-2", "i-3"}


def test_probability_below_the_baseline_attracts_no_extra_load():
    candidates = [
        candidate(1, sick_probability=0.01),
        candidate(2, sick_probability=0.2),
        candidate(3, sick_probability=0.24),
    ]
    assert min(choice_counts(candidates).values()) > 60


def test_only_a_prober_sends_to_an_instance_that_may_have_recovered():
    others = [
        candidate(number, has_owned_slot=False, in_flight=9) for number in range(2, 9)
    ]
    suspect = candidate(1, sick_probability=0.45, is_prober=True)
    assert chosen_number([suspect, *others]) == 1
    assert chosen_number([suspect._replace(is_prober=False), *others]) != 1


def test_prober_sends_one_request_at_a_time():
    others = [
        candidate(number, has_owned_slot=False, in_flight=9) for number in range(2, 9)
    ]
    suspect = candidate(1, sick_probability=0.45, is_prober=True, in_flight=1)
    assert chosen_number([suspect, *others]) != 1


def test_floor_admits_the_least_suspected_instances_without_a_recent_failure():
    candidates = [candidate(1, in_flight=50)] + [
        candidate(n, sick_probability=0.33 + n / 100.0, in_flight=n)
        for n in range(2, 11)
    ]
    chosen = set(choice_counts(candidates))
    assert "i-2" in chosen
    assert "i-10" not in chosen


def test_recently_failed_instance_does_not_count_toward_the_floor():
    candidates = [candidate(1)] + [
        candidate(n, sick_probability=0.9, has_recent_failure=True) for n in range(2, 6)
    ]
    assert set(choice_counts(candidates)) == {"i-1"}


def test_least_sick_instance_serves_when_all_are_sick():
    candidates = [
        candidate(1, sick_probability=0.95, has_recent_failure=True),
        candidate(2, sick_probability=0.9, has_recent_failure=True),
    ]
    assert chosen_number(candidates) == 2


def test_unavailable_instance_is_used_only_when_all_are():
    assert (
        chosen_number(
            [candidate(1, is_unavailable=True), candidate(2, sick_probability=0.9)]
        )
        == 2
    )
    assert chosen_number([candidate(1, is_unavailable=True)]) == 1


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"has_idle_connection": False}),
        ({}, {"has_owned_slot": False}),
        ({}, {"is_cold": True}),
        ({}, {"in_flight": 1}),
        ({"in_flight": 1}, {"in_flight": 3}),
    ],
)
def test_cheaper_of_two_candidates_is_chosen(better, worse):
    assert chosen_number([candidate(1, **worse), candidate(2, **better)]) == 2


def test_a_saved_request_of_a_limited_instance_is_used_unless_it_looks_sick():
    limited = {"has_saved_request": True, "has_owned_slot": False}
    candidates = [candidate(1, **limited), candidate(2)]
    assert set(choice_counts(candidates)) == {"i-1"}
    candidates[0] = candidate(1, **limited, sick_probability=0.9)
    assert set(choice_counts(candidates)) == {"i-2"}


def test_large_responses_stay_in_their_zone_and_small_ones_may_cross():
    candidates = [
        candidate(1, is_remote_zone=True),
        candidate(2, has_idle_connection=False, in_flight=1),
    ]
    assert chosen_number(candidates, ARCHIVE) == 2
    assert chosen_number(candidates, BOOKING) == 1
