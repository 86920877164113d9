"""Which requests a VM in its graceful shutdown still passes on."""

import pytest

from galenaferry.drain.admission import (
    ANSWER_TIME_MS,
    CLOSE_MARGIN_MS,
    UNKNOWN_TIMES,
    ResponseTimes,
    ShutdownSchedule,
    may_start,
)

SCHEDULE = ShutdownSchedule(closes_at=3_000.0, exits_at=5_300.0)
ANSWERED_BY = 5_300.0 - ANSWER_TIME_MS
LATE_FROM = 3_000.0 - CLOSE_MARGIN_MS
FAR_DEADLINE = 60_000.0


@pytest.mark.parametrize(
    ("times", "last_start"),
    [
        (ResponseTimes(3_000.0, 6_000.0), ANSWERED_BY - 3_000.0),
        (ResponseTimes(1_000.0, 2_000.0), ANSWERED_BY - 2_000.0),
        (ResponseTimes(100.0, 200.0), ANSWERED_BY - 200.0),
        (ResponseTimes(100.0, None), LATE_FROM - 1.0),
        (ResponseTimes(1_200.0, 1_500.0, load=0.7), ANSWERED_BY - 1_500.0),
        (ResponseTimes(1_200.0, 1_500.0, load=0.8), LATE_FROM - 1.0),
        (ResponseTimes(1_200.0, 1_500.0, load=2.0), ANSWERED_BY - 3_600.0),
        (ResponseTimes(4_000.0, None), ANSWERED_BY - 4_000.0),
        (ResponseTimes(9_000.0, 18_000.0), -1.0),
        (UNKNOWN_TIMES, LATE_FROM - 1.0),
    ],
)
def test_requests_start_only_while_they_can_end(times, last_start):
    """Guards against a last start that is too late, or earlier than it must be."""
    starts = [
        now
        for now in range(5_300)
        if may_start(SCHEDULE, times, FAR_DEADLINE, float(now))
    ]
    assert starts == list(range(int(last_start) + 1))


def test_a_deadline_before_the_exit_ends_a_request_in_time():
    """Guards against refusing a request that ends before the exit, answered or not."""
    assert may_start(SCHEDULE, UNKNOWN_TIMES, ANSWERED_BY, 4_900.0)
    assert not may_start(SCHEDULE, UNKNOWN_TIMES, ANSWERED_BY + 1.0, 4_900.0)


def test_a_second_attempt_must_be_sure_to_end():
    """Guards against giving up an attempt that may answer for one that can't."""
    slow = ResponseTimes(2_000.0, 4_000.0)
    assert may_start(SCHEDULE, slow, FAR_DEADLINE, 2_000.0)
    assert not may_start(SCHEDULE, slow, FAR_DEADLINE, 2_000.0, must_be_certain=True)
