"""Failures with placement and with random choice, while instances fail for seconds.

The default scenario: 36 VMs send two requests per second each, not idempotent, to 16
instances that are sick three tenths of the time and then fail three of four requests.
"""

import pytest

from galenaferry.placing.tests.simulation import Scenario, simulate

SEEDS = (1, 2, 3)


@pytest.fixture(scope="module")
def random_results():
    return [simulate(Scenario(), seed, is_random_choice=True) for seed in SEEDS]


@pytest.fixture(scope="module")
def placement_results():
    return [simulate(Scenario(), seed) for seed in SEEDS]


def test_placement_has_under_a_third_of_the_failures_of_random_choice(
    random_results, placement_results
):
    for placement_result, random_result in zip(placement_results, random_results):
        assert placement_result.failure_rate < random_result.failure_rate / 3.0


@pytest.mark.parametrize(
    "scenario",
    [Scenario(slots=6), Scenario(slots=6, instances=9, mean_healthy_time=30_000.0)],
)
def test_placement_halves_lost_requests_when_slots_fill_up(scenario):
    for seed in SEEDS:
        placement_result, random_result = (
            simulate(scenario, seed),
            simulate(scenario, seed, is_random_choice=True),
        )
        assert (
            placement_result.failed + placement_result.refused
            < (random_result.failed + random_result.refused) / 2.0
        )


def test_full_instance_refuses_requests():
    scenario = Scenario(
        slots=1, max_queue=0, instances=2, mean_sick_time=1.0, mean_healthy_time=1e9
    )
    result = simulate(scenario, SEEDS[0], is_random_choice=True)
    assert result.refused > result.requests / 2.0


def test_every_instance_keeps_receiving_requests(placement_results):
    for result in placement_results:
        assert result.min_traffic_share > 0.2
        assert result.max_idle_time < 15_000.0


def test_failure_rate_stays_low_when_messages_are_lost():
    for seed in SEEDS:
        result = simulate(Scenario(message_loss=0.12), seed)
        assert result.failure_rate < 0.1


def test_placement_without_broadcasts_beats_random_choice(random_results):
    for seed, random_result in zip(SEEDS, random_results):
        result = simulate(Scenario(has_broadcasts=False), seed)
        assert result.failure_rate < random_result.failure_rate


def test_no_instance_is_excluded_when_all_are_healthy():
    for seed in SEEDS:
        result = simulate(
            Scenario(
                mean_sick_time=1.0, mean_healthy_time=1e9, healthy_failure_rate=0.0
            ),
            seed,
        )
        assert result.failed == 0
        assert result.min_traffic_share > 0.5


def test_all_instances_keep_serving_when_all_are_sick():
    scenario = Scenario(
        mean_sick_time=1e9, mean_healthy_time=1.0, sick_failure_rate=0.5
    )
    for seed in SEEDS:
        result = simulate(scenario, seed)
        assert 0.45 < result.failure_rate < 0.55
        assert result.min_traffic_share > 0.2
