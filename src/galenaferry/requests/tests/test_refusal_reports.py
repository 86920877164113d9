"""Log fields and counters that tell why a request was refused."""

from galenaferry.attempts.messages import Execution
from galenaferry.framing.messages import RequestHead
from galenaferry.metrics.registry import Metrics
from galenaferry.metrics.text import render_text
from galenaferry.requests.messages import MAX_REFUSAL_REASONS, RequestCounters
from galenaferry.requests.summary import RequestSummary


def make_summary(status, reason, target=b"/new/1"):
    head = RequestHead(b"GET", target, "1.1", ((b"host", b"a"),), 0, True, False)
    summary = RequestSummary(b"q1", 0.0, head)
    summary.set_outcome(status, reason, Execution.NOT_RUN)
    return summary


def test_a_request_that_is_rejected_as_wrong_is_logged_with_its_target():
    fields = make_summary(404, "no service for this path").log_fields(5.0)
    assert (fields["host"], fields["target"]) == ("a", "/new/1")


def test_targets_of_other_requests_are_not_logged():
    assert "target" not in make_summary(503, "busy").log_fields(5.0)
    # An instance's own 404 has no reason of this VM.
    assert "target" not in make_summary(404, "").log_fields(5.0)


def test_a_logged_target_is_cut_off():
    fields = make_summary(404, "none", b"/" + b"x" * 9_000).log_fields(5.0)
    assert len(fields["target"]) == 200


def test_refusals_are_counted_by_status_and_reason():
    counters = RequestCounters()
    for _ in range(2):
        counters.count_refusal(404, "no service for this path", Execution.NOT_RUN)
    counters.count_refusal(503, "busy", Execution.NOT_RUN)
    metrics = Metrics("vm-1", "north")
    metrics.add_request_counters(counters)
    text = render_text(metrics.collect())
    lines = [
        line
        for line in text.splitlines()
        if "refusals" in line and " " in line and not line.startswith("#")
    ]
    assert len(lines) == 2
    assert any("404" in line and line.endswith(" 2") for line in lines)
    assert counters.refused_not_run == 3


def test_counters_of_reasons_are_bounded():
    counters = RequestCounters()
    for number in range(3 * MAX_REFUSAL_REASONS):
        counters.count_refusal(400, f"reason {number}", Execution.NOT_RUN)
    assert len(counters.by_refusal) == MAX_REFUSAL_REASONS + 1
