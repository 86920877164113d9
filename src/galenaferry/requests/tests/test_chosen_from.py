"""From what list the instances of a request were chosen, in its log line."""

from galenaferry.attempts.messages import NotConnected
from galenaferry.backends.messages import Instance, ListState, Use
from galenaferry.requests.tests.test_refusal_reports import make_summary

INSTANCE = Instance("10.0.0.9:80", "bookings", "north", False, "i-1")


def make_finished_summary(use):
    summary = make_summary(200, "")
    state = ListState("1.20", "10.0.0.1:7200", 140.0, use)
    summary.add_attempt(INSTANCE, NotConnected("refused"), 3.0, state)
    return summary


def test_a_request_tells_from_how_old_a_list_and_why_its_instance_was_chosen():
    fields = make_finished_summary(Use.GRACE_PERIOD).log_fields(5.0)
    assert fields["chosen_from"] == [("1.20", "10.0.0.1:7200", 140, "grace period")]


def test_only_successes_at_listed_instances_are_left_out_of_the_log_first():
    assert make_finished_summary(Use.LISTED).is_ordinary
    assert not make_finished_summary(Use.GRACE_PERIOD).is_ordinary
    assert not make_finished_summary(Use.LAST_RESORT).is_ordinary
