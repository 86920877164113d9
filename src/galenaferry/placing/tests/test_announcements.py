"""Instances that announce that they leave, or ask for a pause."""

import pytest

from galenaferry.attempts.messages import Answered, CertifiedNotRun, Misdirected
from galenaferry.backends.choice import NoInstance
from galenaferry.framing.messages import ResponseHead
from galenaferry.health.messages import InstanceOutcome, instance_key
from galenaferry.health.posteriors import Outcome
from galenaferry.placing.announcements import MAX_PAUSE_MS
from galenaferry.placing.tests.builders import instance
from galenaferry.placing.tests.test_component import PlacementBench
from galenaferry.platform.headers import HEADER_NAMES
from galenaferry.requests.announcements import record_announcements

DRAIN_TIMEOUT_MS = 2_000.0


def receive_head(bench, number, status, outcome, sent_at=0.0, **headers):
    """Let this VM receive a response head of an instance."""
    pairs = tuple(
        (name.replace("_", "-").encode(), value) for name, value in headers.items()
    )
    head = ResponseHead(status, b"", pairs, 0)
    record_announcements(
        bench.placement, HEADER_NAMES, instance(number), head, outcome, sent_at
    )
    bench.loop.poll(0.0)


def announce_leaving(bench, number):
    receive_head(bench, number, 200, Answered(200), server_leaving=b"1")


def ask_for_pause(bench, number, retry_after):
    receive_head(bench, number, 503, CertifiedNotRun(503), retry_after=retry_after)


def test_a_leaving_instance_gets_no_new_requests_whatever_the_list_says():
    bench = PlacementBench([instance(1), instance(2)])
    announce_leaving(bench, 1)
    assert bench.chosen_ids() == {"i-2"}
    bench.placement.replace_instances([instance(1), instance(2)])
    bench.clock.advance(600_000.0)
    assert bench.chosen_ids() == {"i-2"}
    bench.placement.replace_instances([instance(2)])
    bench.placement.replace_instances([instance(1), instance(2)])
    assert bench.chosen_ids() == {"i-2"}


def test_an_instance_that_started_again_is_used():
    bench = PlacementBench([instance(1, born=1), instance(2)])
    bench.placement.mark_draining(instance(1, born=1))
    bench.placement.replace_instances([instance(1, born=2), instance(2)])
    assert bench.chosen_ids() == {"i-1", "i-2"}


def test_the_last_instances_of_a_service_are_used_before_the_drain_timeout_only():
    bench = PlacementBench([instance(1)])
    announce_leaving(bench, 1)
    assert bench.chosen_ids() == {"i-1"}
    bench.clock.advance(0.6 * DRAIN_TIMEOUT_MS)
    assert bench.choose() == NoInstance()


def test_other_vms_are_told_once():
    bench = PlacementBench([instance(1), instance(2)])
    announce_leaving(bench, 1)
    announce_leaving(bench, 1)
    leaving = InstanceOutcome(instance_key(instance(1).name), Outcome.LEAVING)
    assert bench.broadcasts == [(leaving,)]
    other = PlacementBench([instance(1), instance(2)])
    other.placement.on_outcomes("10.9.9.9:7000", bench.broadcasts[0])
    assert other.chosen_ids() == {"i-2"}
    announce_leaving(other, 1)
    assert other.broadcasts == []


@pytest.mark.parametrize(
    ("status", "outcome", "value"),
    [(200, Answered(200), b"0"), (421, Misdirected(), b"1")],
)
def test_an_instance_speaks_only_of_itself(status, outcome, value):
    bench = PlacementBench([instance(1), instance(2)])
    receive_head(bench, 1, status, outcome, server_leaving=value)
    assert bench.chosen_ids() == {"i-1", "i-2"}


def test_a_pausing_instance_gets_nothing_until_the_end_of_its_pause():
    # Not even as the only one, nor to keep the floor.
    bench = PlacementBench([instance(number) for number in range(1, 4)])
    for number in (1, 2, 3):
        ask_for_pause(bench, number, b"4")
    for _ in range(39):
        bench.clock.advance(100.0)
        assert bench.choose(is_idempotent=True) == NoInstance()
    bench.clock.advance(300.0)
    assert bench.choose() != NoInstance()


def test_callers_are_told_when_the_first_pause_ends():
    bench = PlacementBench([instance(1), instance(2)])
    ask_for_pause(bench, 1, b"4")
    assert bench.placement.next_return("bookings") is None
    ask_for_pause(bench, 2, b"1.5")
    until = bench.placement.next_return("bookings") - bench.clock.now()
    assert 1_500.0 <= until <= 1_600.0
    bench.clock.advance(1_700.0)
    assert bench.placement.next_return("bookings") is None


def test_a_shorter_pause_does_not_end_a_longer_one():
    bench = PlacementBench([instance(1)])
    ask_for_pause(bench, 1, b"4")
    ask_for_pause(bench, 1, b"1")
    bench.clock.advance(2_000.0)
    assert bench.choose() == NoInstance()


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e9", b"soon", b"\xb2", b"1, 2"]
)
def test_an_invalid_pause_is_ignored(value):
    bench = PlacementBench([instance(1)])
    ask_for_pause(bench, 1, value)
    assert bench.chosen_ids() == {"i-1"}


def test_a_huge_pause_is_limited():
    bench = PlacementBench([instance(1)])
    ask_for_pause(bench, 1, b"99999999999999999999")
    bench.clock.advance(MAX_PAUSE_MS - 1.0)
    assert bench.choose() == NoInstance()
    bench.clock.advance(1_000.0)
    assert bench.chosen_ids() == {"i-1"}


def test_only_a_503_asks_for_a_pause():
    bench = PlacementBench([instance(1)])
    receive_head(bench, 1, 429, CertifiedNotRun(429), retry_after=b"4")
    assert bench.chosen_ids() == {"i-1"}
