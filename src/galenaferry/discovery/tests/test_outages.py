"""Outages of the store, as a VM tells them from trouble of a few VMs."""

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import NEVER_AWAY_MS
from galenaferry.discovery.outages import OutageDetector

MAX_SILENCE_MS = 1_800.0
START_MS = 10_000.0


def make_detector():
    """Return a detector that has just heard of an answer, and its clock."""
    clock = FakeClock(START_MS)
    detector = OutageDetector(clock, MAX_SILENCE_MS)
    detector.on_answer(START_MS)
    return detector, clock


def test_a_store_that_answers_others_all_the_time_was_not_away():
    detector, clock = make_detector()
    for _ in range(10):
        clock.advance(MAX_SILENCE_MS)
        detector.on_told_answer(clock.now(), NEVER_AWAY_MS)
        assert not detector.is_away
    assert detector.back_at is None
    assert detector.back_ago == NEVER_AWAY_MS


def test_a_silence_that_only_this_vm_has_seen_is_no_outage():
    detector, clock = make_detector()
    clock.advance(3.0 * MAX_SILENCE_MS)
    assert detector.is_away
    detector.on_told_answer(clock.now(), NEVER_AWAY_MS)
    assert not detector.is_away
    assert detector.back_at is None


def test_an_outage_of_which_only_another_vm_tells_is_none():
    detector, clock = make_detector()
    clock.advance(MAX_SILENCE_MS)
    detector.on_told_answer(clock.now(), back_ago=0.0)
    assert detector.back_at is None


def test_an_outage_ends_when_the_first_vm_got_an_answer():
    detector, clock = make_detector()
    clock.advance(5.0 * MAX_SILENCE_MS)
    detector.on_told_answer(clock.now() - 100.0, back_ago=400.0)
    assert detector.back_at == clock.now() - 400.0
    clock.advance(50.0)
    detector.on_answer(clock.now())
    assert detector.back_ago == 450.0


def test_an_old_answer_does_not_end_an_outage():
    detector, clock = make_detector()
    clock.advance(5.0 * MAX_SILENCE_MS)
    detector.on_told_answer(START_MS + MAX_SILENCE_MS, back_ago=0.0)
    assert detector.is_away


def test_a_vm_that_started_in_an_outage_with_the_copy_of_another_one_sees_its_end():
    clock = FakeClock(START_MS)
    detector = OutageDetector(clock, MAX_SILENCE_MS)
    assert not detector.is_away
    detector.on_copy_of_other_vm()
    clock.advance(100.0)
    assert detector.is_away
    detector.on_answer(clock.now())
    assert detector.back_at == clock.now()
