"""Which requests are suspected, tried alone, paused and blocked."""

import pytest

from galenaferry.crashes.messages import Allowed, Blocked, Held, Paused
from galenaferry.crashes.suspects import (
    MAX_SUSPECTS,
    PAUSE_MS,
    RIPENING_MS,
    TRIAL_MS,
    Suspects,
)

KEY = b"pathpath" + b"bodybody" + b"variant1"
KIND = KEY[:16]
OTHER = KIND + b"variant2"
CRASHES = ((1, 0.0), (2, 100.0), (3, 200.0))


def make_suspects(crashes=CRASHES, version="v1"):
    suspects = Suspects()
    for instance, at in crashes:
        suspects.on_crash(KEY, instance, version, at)
    return suspects


def blocked_suspects(*versions):
    suspects = Suspects()
    suspects.block(KEY, Blocked(frozenset(versions)), 0.0)
    return suspects


def test_an_unknown_request_is_allowed():
    assert Suspects().decide(KEY, 0.0) == Allowed()


def test_a_suspect_is_tried_alone():
    suspects = make_suspects(CRASHES[:1])
    assert suspects.decide(KEY, 10.0) == Allowed(is_trial=True)
    suspects.on_trial(KEY, 10.0)
    assert suspects.decide(KEY, 20.0) == Held(10.0 + TRIAL_MS)
    assert suspects.decide(KEY, 10.0 + TRIAL_MS) == Allowed(is_trial=True)


def test_two_crashes_pause_a_request():
    suspects = make_suspects(CRASHES[:2])
    assert suspects.decide(KEY, 200.0) == Paused(100.0 + PAUSE_MS)
    assert suspects.decide(KEY, 100.0 + PAUSE_MS) == Allowed(is_trial=True)


def test_one_crash_that_many_vms_report_counts_once():
    suspects = make_suspects(((1, 0.0), (1, 30.0), (1, 60.0)))
    assert suspects.decide(KEY, 100.0) == Allowed(is_trial=True)
    assert not suspects.ripe(10_000.0)


def test_three_crashes_block_a_request_once_none_can_be_refuted():
    suspects = make_suspects()
    assert not suspects.ripe(200.0 + RIPENING_MS - 1.0)
    assert suspects.ripe(200.0 + RIPENING_MS) == [KEY]
    assert isinstance(suspects.decide(KEY, 300.0), Paused)


def test_crashes_of_instances_that_live_are_taken_back():
    suspects = make_suspects()
    for instance in (1, 2, 3):
        suspects.on_alive(instance, 400.0)
    assert suspects.decide(KEY, 500.0) == Allowed()
    suspects.on_crash(KEY, 1, "v1", 100.0)
    assert suspects.decide(KEY, 500.0) == Allowed()
    assert not suspects


def test_an_answer_clears_a_suspect_and_what_is_told_late_of_it():
    suspects = make_suspects(CRASHES[:2])
    assert suspects.on_answered(KEY, "v1", 500.0)
    suspects.on_crash(KEY, 3, "v1", 400.0)
    assert suspects.decide(KEY, 600.0) == Allowed()


def test_an_answer_of_a_version_that_did_not_crash_proves_nothing_for_the_others():
    suspects = make_suspects(CRASHES[:2])
    assert not suspects.on_answered(KEY, "v2", 500.0)
    assert isinstance(suspects.decide(KEY, 600.0), Paused)


def test_a_blocked_request_keeps_the_versions_that_serve_it():
    suspects = blocked_suspects("v1")
    assert suspects.on_answered(KEY, "v2", 500.0)
    assert not suspects.on_answered(KEY, "v2", 600.0)
    expected = Blocked(frozenset(("v1",)), frozenset(("v2",)))
    assert suspects.decide(KEY, 700.0) == expected
    suspects.on_crash(KEY, 9, "v2", 800.0)
    assert suspects.decide(KEY, 900.0) == Blocked(frozenset(("v1", "v2")))


def test_a_block_that_was_lifted_does_not_come_back_with_older_news():
    suspects = blocked_suspects("v1")
    assert suspects.clear(KEY, 500.0)
    assert not suspects.block(KEY, Blocked(frozenset(("v1",))), 400.0)
    assert suspects.decide(KEY, 600.0) == Allowed()


def test_memory_is_bounded_and_blocked_requests_are_kept():
    suspects = blocked_suspects("v1")
    keys = [b"%08d" % number + b"bodybody" + b"variant1" for number in range(10_000)]
    for number, key in enumerate(keys):
        suspects.on_crash(key, number, "v1", float(number))
    assert suspects.suspect_count == MAX_SUSPECTS // 2
    assert not suspects.is_suspect(keys[0])
    assert suspects.is_suspect(keys[-1])
    assert suspects.blocked_keys(KEY) == [KEY]
    assert not suspects.has_path(keys[0][:8])


@pytest.mark.parametrize("event", ["clear", "answer", "alive"])
def test_nothing_is_left_of_a_request_that_is_cleared(event):
    suspects = make_suspects(CRASHES[:1])
    match event:
        case "clear":
            suspects.clear(KEY, 1.0)
        case "answer":
            suspects.on_answered(KEY, "v1", 1.0)
        case "alive":
            suspects.on_alive(1, 1.0)
    assert not suspects
    assert not suspects.has_path(KEY[:8])


def test_crashes_by_several_variants_block_their_kind():
    suspects = Suspects()
    for instance, variant in enumerate((KEY, OTHER, KEY[:16] + b"variant3")):
        suspects.on_crash(variant, instance, "v1", 0.0)
    assert suspects.ripe(RIPENING_MS) == [KIND]
    suspects.block(KIND, Blocked(), RIPENING_MS)
    assert suspects.decide(KIND + b"variant4", 1_000.0) == Blocked(frozenset(("v1",)))


def test_crashes_by_one_variant_say_nothing_of_others():
    suspects = make_suspects()
    assert suspects.ripe(1_000.0) == [KEY]
    suspects.block(KEY, Blocked(), 1_000.0)
    assert suspects.decide(OTHER, 1_100.0) == Allowed()


def test_an_answer_to_one_variant_clears_the_kind_but_not_the_others():
    suspects = make_suspects()
    suspects.block(KEY, Blocked(), 1_000.0)
    suspects.on_crash(OTHER, 4, "v1", 1_100.0)
    suspects.on_answered(OTHER, "v1", 1_200.0)
    assert suspects.decide(OTHER, 1_300.0) == Allowed()
    assert suspects.blocked_keys(KEY) == [KEY]
    assert not suspects.is_suspect(KIND)
