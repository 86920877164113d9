"""The checks of planned stops report what is lost, but nothing that may be cut."""

import pytest

from soak.instances import SLOW_WORK_MS, ExecutionRecord
from soak.stops import EXCUSED_SEND_MS, EXCUSED_WORK_MS, PlannedStops

STOPPED_AT = 10_000.0


def findings_of(outcome, sent_after, started_after, runs=1, is_timed=True):
    """Return the findings for one request; times are in ms after the signal."""
    soak = object.__new__(PlannedStops)
    soak.record = ExecutionRecord()
    soak._is_timed = is_timed
    soak._stopped_at_by_request = {"b1": STOPPED_AT}
    soak._sent_at_by_request = {"b1": STOPPED_AT + sent_after}
    soak._outcome_by_request = {"b1": outcome}
    if runs:
        soak.record.runs_by_request["b1"] = runs
        soak.record.started_at_by_request["b1"] = STOPPED_AT + started_after
    soak._check_late_requests()
    return soak.record.findings


LAST_START = EXCUSED_WORK_MS - SLOW_WORK_MS


@pytest.mark.parametrize(
    ("outcome", "sent_after", "started_after", "text"),
    [
        ("closed", EXCUSED_SEND_MS + 1.0, LAST_START + 500.0, "b1 ran and was cut"),
        ("closed", 100.0, LAST_START - 1.0, "b1 ran and was cut"),
        ("503", 100.0, 110.0, "b1 ran and was said not to have"),
    ],
)
def test_a_lost_request_is_reported(outcome, sent_after, started_after, text):
    """Guards against a soak that passes although a stop loses requests."""
    assert findings_of(outcome, sent_after, started_after) == [text]


@pytest.mark.parametrize(
    ("outcome", "sent_after", "started_after", "runs"),
    [
        ("200", 100.0, 110.0, 1),
        ("502", 100.0, 110.0, 1),
        ("503", EXCUSED_SEND_MS + 1.0, 0.0, 0),
        ("closed", EXCUSED_SEND_MS + 1.0, 0.0, 0),
        ("closed", EXCUSED_SEND_MS, LAST_START + 1.0, 1),
    ],
)
def test_what_may_happen_is_not_reported(outcome, sent_after, started_after, runs):
    """Guards against findings for what the users' rule allows."""
    assert findings_of(outcome, sent_after, started_after, runs) == []


def test_without_time_checks_only_untrue_refusals_are_reported():
    """Guards against a verdict that depends on the load of the machine."""
    assert findings_of("closed", 4_000.0, 4_100.0, is_timed=False) == []
    assert len(findings_of("503", 4_000.0, 4_100.0, is_timed=False)) == 1
