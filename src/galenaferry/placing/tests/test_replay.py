"""What callers get while instances fall sick for seconds, against a plain policy.

The load: 36 VMs, two requests a second each, that may not be repeated; 16 instances
that are sick three tenths of the time and then fail three of four requests.
"""

import pytest

from galenaferry.placing.tests.replay import Load, play

SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def plain():
    return [play(Load(), seed, is_plain=True) for seed in SEEDS]


@pytest.fixture(scope="module")
def placed():
    return [play(Load(), seed) for seed in SEEDS]


def test_fewer_than_a_third_of_the_plain_policys_failures_are_left(plain, placed):
    for mine, other in zip(placed, plain):
        assert mine.failed_share < other.failed_share / 3.0


@pytest.mark.parametrize(
    "load", [Load(slots=6), Load(slots=6, instances=9, mean_well=30_000.0)]
)
def test_with_slots_that_fill_up_callers_lose_less_than_half_as_many(load):
    for seed in SEEDS:
        mine, other = play(load, seed), play(load, seed, is_plain=True)
        assert mine.failed + mine.refused < (other.failed + other.refused) / 2.0


def test_an_instance_that_is_full_turns_requests_away():
    full = Load(slots=1, longest_queue=0, instances=2, mean_sick=1.0, mean_well=1e9)
    outcome = play(full, SEEDS[0], is_plain=True)
    assert outcome.refused > outcome.requests / 2.0


def test_every_instance_goes_on_being_used(placed):
    for outcome in placed:
        assert outcome.least_share > 0.2
        assert outcome.longest_pause < 15_000.0


def test_lost_messages_cost_little():
    for seed in SEEDS:
        lossy = play(Load(lost=0.12), seed)
        assert lossy.failed_share < 0.1


def test_a_vm_that_hears_nobody_does_no_worse_than_the_plain_policy(plain):
    for seed, other in zip(SEEDS, plain):
        alone = play(Load(hears_others=False), seed)
        assert alone.failed_share < other.failed_share


def test_where_all_is_well_nothing_is_avoided():
    for seed in SEEDS:
        calm = play(Load(mean_sick=1.0, mean_well=1e9, fails_when_well=0.0), seed)
        assert calm.failed == 0
        assert calm.least_share > 0.5


def test_where_all_are_sick_all_go_on_serving():
    load = Load(mean_sick=1e9, mean_well=1.0, fails_when_sick=0.5)
    for seed in SEEDS:
        outcome = play(load, seed)
        assert 0.45 < outcome.failed_share < 0.55
        assert outcome.least_share > 0.2
