"""Beliefs about instances move with outcomes and return with time."""

import pytest

from galenaferry.health.beliefs import Belief, Beliefs, Outcome, SicknessModel

MODEL = SicknessModel()


def belief_after(*outcomes, at=0.0):
    belief = Belief(MODEL, at)
    for outcome in outcomes:
        belief.add(outcome, at)
    return belief


def test_nothing_known_is_what_is_usual():
    assert belief_after().sick(0.0) == pytest.approx(MODEL.usual)


def test_one_failure_makes_an_instance_probably_sick():
    assert belief_after(Outcome.FAILED).sick(0.0) > 0.85


def test_a_success_after_a_while_clears_a_suspect():
    belief = belief_after(Outcome.FAILED)
    assert belief.sick(2_000.0) > 0.4
    belief.add(Outcome.GOOD, 2_000.0)
    assert belief.sick(2_000.0) < MODEL.usual


def test_time_alone_brings_an_instance_back():
    belief = belief_after(Outcome.FAILED, Outcome.FAILED, Outcome.FAILED)
    assert belief.sick(60_000.0) == pytest.approx(MODEL.usual, abs=0.001)


def test_two_overdue_answers_make_a_suspect():
    assert belief_after(Outcome.SLOW).sick(0.0) < 0.6
    assert belief_after(Outcome.SLOW, Outcome.SLOW).sick(0.0) > 0.6


def test_no_outcome_is_final():
    belief = belief_after(*[Outcome.GOOD] * 100)
    belief.add(Outcome.FAILED, 0.0)
    belief.add(Outcome.FAILED, 0.0)
    assert belief.sick(0.0) > 0.5


def test_a_new_life_of_an_instance_starts_anew():
    beliefs = Beliefs(MODEL)
    beliefs.of("i-1@1", 0.0).add(Outcome.FAILED, 0.0)
    beliefs.keep(frozenset(["i-1@2"]))
    assert beliefs.of("i-1@1", 0.0).sick(0.0) == pytest.approx(MODEL.usual)
