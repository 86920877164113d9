"""Posteriors follow outcomes and decay to the stationary probability."""

import pytest

from galenaferry.health.posteriors import FaultModel, Outcome, Posterior, Posteriors

MODEL = FaultModel()


def posterior_after(*outcomes, at=0.0):
    posterior = Posterior(MODEL, at)
    for outcome in outcomes:
        posterior.update(outcome, at)
    return posterior


def test_prior_is_the_stationary_probability():
    assert posterior_after().sick_probability(0.0) == pytest.approx(
        MODEL.stationary_probability
    )


def test_one_failure_makes_an_instance_probably_sick():
    assert posterior_after(Outcome.FAILED).sick_probability(0.0) > 0.85


def test_success_after_two_seconds_clears_a_suspected_instance():
    posterior = posterior_after(Outcome.FAILED)
    assert posterior.sick_probability(2_000.0) > 0.4
    posterior.update(Outcome.GOOD, 2_000.0)
    assert posterior.sick_probability(2_000.0) < MODEL.stationary_probability


def test_posterior_decays_to_the_stationary_probability():
    posterior = posterior_after(Outcome.FAILED, Outcome.FAILED, Outcome.FAILED)
    assert posterior.sick_probability(60_000.0) == pytest.approx(
        MODEL.stationary_probability, abs=0.001
    )


def test_two_overdue_responses_make_an_instance_suspected():
    assert posterior_after(Outcome.SLOW).sick_probability(0.0) < 0.6
    assert posterior_after(Outcome.SLOW, Outcome.SLOW).sick_probability(0.0) > 0.6


def test_failures_outweigh_many_earlier_successes():
    posterior = posterior_after(*[Outcome.GOOD] * 100)
    posterior.update(Outcome.FAILED, 0.0)
    posterior.update(Outcome.FAILED, 0.0)
    assert posterior.sick_probability(0.0) > 0.5


def test_instance_dropped_by_retain_only_starts_from_the_prior():
    posteriors = Posteriors(MODEL)
    posteriors.get("i-1@1", 0.0).update(Outcome.FAILED, 0.0)
    posteriors.retain_only(frozenset(["i-1@2"]))
    assert posteriors.get("i-1@1", 0.0).sick_probability(0.0) == pytest.approx(
        MODEL.stationary_probability
    )
