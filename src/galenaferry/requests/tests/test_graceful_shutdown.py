"""Requests that arrive during the graceful shutdown of a VM."""

import pytest

from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.crashes.gate import RequestGate
from galenaferry.requests.tests.builders import parse_answers
from galenaferry.requests.tests.stopping_vm import (
    GRACE_MS,
    Plan,
    StopBench,
)
from galenaferry.routing.table import Route
from galenaferry.tests.fleet import make_document
from galenaferry.tests.rejections import no_proper_request_is_rejected  # noqa: F401

METHODS = ("GET", "POST")


def late_first_requests():
    """Return requests on connections that were accepted before the listener closed."""
    return [
        Plan(METHODS[n % 2], 2_200.0 + n * 13.0, 2_200.0 + n * 13.0 + (n * 61) % 900)
        for n in range(60)
    ]


def late_bodies():
    """Return requests whose heads arrive before the signal, and whose bodies end late."""
    return [
        Plan(METHODS[n % 2], -300.0, -250.0 + n, 500.0 + n * 5_500.0 / 60.0)
        for n in range(60)
    ]


@pytest.mark.parametrize("work_ms", [2_500.0, 1_000.0, 100.0])
@pytest.mark.parametrize("warm_up", [20, 0], ids=["known times", "unknown times"])
def test_late_first_requests_are_answered_or_refused(work_ms, warm_up):
    """Guards against requests that are passed on and cut at the end of the grace."""
    bench = StopBench(work_ms, warm_up=warm_up).play(late_first_requests())
    assert bench.lost() == []


@pytest.mark.parametrize("work_ms", [2_500.0, 1_000.0])
def test_requests_whose_bodies_end_late_are_answered_or_refused(work_ms):
    """Guards against requests that run once their body has come, and are then cut."""
    bench = StopBench(work_ms).play(late_bodies(), early=400.0)
    assert bench.lost() == []


def test_refused_requests_have_not_run_and_may_be_repeated_at_once():
    """Guards against refusals that are late, untrue or don't say when to come back."""
    bench = StopBench(2_500.0).play(late_first_requests())
    refused = bench.with_status(503)
    assert refused
    for request in refused:
        assert not request.ran_at
        assert request.answered_at - request.sent_at < 200.0
        assert 0.0 < float(request.header("retry-after")) <= 0.1
        assert request.header("galenaferry-ran") == "not-run"
        assert request.reason == "this vm is shutting down"


def test_refused_and_cut_requests_are_counted():
    """Guards against a stop of which on-call can't tell what it cost."""
    bench = StopBench(2_500.0).play(late_first_requests())
    by_refusal = bench.vm.vm.context.counters.by_refusal
    assert by_refusal[503, "this VM is shutting down"] == len(bench.with_status(503))
    assert bench.vm.cut_ids == []
    assert len(bench.cut()) == 0


def test_a_request_that_is_held_as_suspected_is_refused_before_the_exit():
    """Guards against requests that wait in the VM until its process exits."""
    bench = StopBench(100.0)
    held = []
    gate = RequestGate.check
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(RequestGate, "check", lambda *arguments: held.append(arguments))
        bench.play([Plan(METHODS[n % 2], 0.0, 100.0 + n) for n in range(6)])
    assert gate is RequestGate.check
    assert len(held) == 6
    assert {r.status for r in bench.requests} == {503}
    assert not bench.ran()


def test_a_body_that_ends_too_late_is_not_passed_on():
    """Guards against 503 for a request of which an instance got a part."""
    bench = StopBench(2_500.0).play(late_bodies(), early=400.0)
    too_late = [r for r in bench.requests if r.plan.body_at > 400.0 + 4_000.0]
    assert {r.status for r in too_late} == {502}
    assert not any(r.ran_at for r in too_late)
    after_signal = [
        Plan(METHODS[n % 2], 500.0, 600.0, 700.0 + n * 300.0) for n in range(16)
    ]
    bench = StopBench(2_500.0).play(after_signal)
    assert bench.lost() == []
    too_late = [r for r in bench.requests if r.plan.body_at > 4_000.0]
    assert {r.status for r in too_late} == {503}
    assert not any(r.ran_at for r in too_late)


@pytest.mark.parametrize(
    ("work_ms", "until_ms"), [(2_500.0, 2_400.0), (1_000.0, 2_900.0), (100.0, 3_000.0)]
)
def test_requests_that_can_end_are_served(work_ms, until_ms):
    """Guards against a VM that refuses its callers' requests from the signal on."""
    plans = [
        Plan(METHODS[n % 2], n * until_ms / 24.0, n * until_ms / 24.0)
        for n in range(24)
    ]
    bench = StopBench(work_ms).play(plans)
    assert len(bench.with_status(200)) == len(plans)


def test_all_slots_work_after_the_signal():
    """Guards against a VM that leaves slots of its instances unused in its grace."""
    plans = [Plan(METHODS[n % 2], 0.0, 10.0) for n in range(32)]
    bench = StopBench(4_000.0).play(plans)
    assert len(bench.ran()) == len(plans)
    assert len(bench.with_status(200)) >= len(plans) - 1
    assert bench.lost() == []


def test_a_request_with_an_early_deadline_is_passed_on():
    """Guards against refusing a request whose own deadline is before the exit."""
    bench = StopBench(100.0, deadline_ms=1_000, warm_up=0)
    bench.play([Plan("POST", 2_900.0, 3_400.0)])
    assert bench.requests[0].status == 200


def test_no_attempt_is_given_up_for_one_that_could_not_end():
    """Guards against second attempts inside the grace that are cut as well."""
    bench = StopBench(3_500.0, warm_up=0)
    bench.play([Plan("GET", 100.0 + n, 200.0 + n) for n in range(4)])
    assert [(r.status, len(r.ran_at)) for r in bench.requests] == [(200, 1)] * 4


def test_instances_get_no_more_time_than_the_process_has():
    """Guards against work that goes on at an instance when the process has exited."""
    bench = StopBench(100.0).play(
        [Plan(METHODS[n % 2], n * 200.0, n * 200.0) for n in range(20)]
    )
    stopped_at = bench.vm.signalled_at + GRACE_MS
    arrivals = [
        a for r in bench.requests for a in bench.fleet.arrivals_of(r.target.encode())
    ]
    assert arrivals
    assert all(a.at + a.time_left_ms <= stopped_at - 700.0 for a in arrivals)


def sick_probabilities_after(status):
    bench = StopBench(100.0)
    bench.fleet.configure([0], make_document(version=2, target_latency=50.0))
    for server in bench.fleet.servers:
        server.status = status
    bench.play([Plan("POST", 100.0 + n, 200.0 + n) for n in range(4)])
    assert [r.status for r in bench.requests] == [int(status[:3])] * 4
    return bench.sick_probabilities()


def test_a_timeout_that_the_stop_has_shortened_accuses_no_instance():
    """Guards against instances that are suspected for the time that they were given."""
    expected = sick_probabilities_after(b"200 OK")
    actual = sick_probabilities_after(b"504 Gateway Timeout")
    assert actual == pytest.approx(expected, abs=0.02)


def test_another_vm_is_asked_when_the_one_between_stops():
    """Guards against requests of other VMs that are taken in the grace and cut."""
    bench = StopBench(2_600.0, vms=3)
    fleet = bench.fleet
    fleet.cut(2, "refuse")
    fleet.run(3.0, (300.0, lambda n: fleet.get(f"/read/cut-{n}", vm=fleet.vms[2])))
    bench.vm.stop()
    fleet.run(2.9)
    requests = [
        fleet.post(f"/book/hop-{number}", b"x", vm=fleet.vms[2]) for number in range(12)
    ]
    fleet.run(6.0)
    assert {r.status for r in requests} == {200}


def test_requests_that_are_cut_at_the_exit_are_named():
    """Guards against requests that end with the process without a line in its log."""
    bench = StopBench(60_000.0, warm_up=0)
    bench.play([Plan("POST", 100.0, 200.0 + n) for n in range(3)])
    sent_ids = sorted(f"{r.request_id}-0" for r in bench.requests)
    assert sorted(bench.vm.cut_ids) == sent_ids
    assert [r.status for r in bench.requests] == [0] * 3


def test_requests_that_were_sent_ahead_are_answered_or_refused_in_turn():
    """Guards against requests that were read and then dropped with their connection."""
    bench = StopBench(2_000.0)
    bench.play([Plan("POST", 100.0, 200.0, ahead=7)])
    answers = parse_answers(bench.requests[0].received)
    assert [status for status, _, _ in answers] == [200, 200] + [503] * 6
    assert answers[-1][1]["connection"] == "close"
    assert len(bench.requests[0].ran_at) == 2


def test_requests_that_would_wait_too_long_for_a_slot_are_refused():
    """Guards against requests that are passed on to wait, and cut before they end."""
    plans = [Plan(METHODS[n % 2], n * 30.0, n * 30.0) for n in range(80)]
    bench = StopBench(2_500.0).play(plans)
    assert len(bench.with_status(200)) >= 32
    assert len(bench.cut()) <= 1
    assert len(bench.with_status(200)) + len(bench.with_status(503)) >= 79


def test_requests_wait_for_a_slot_if_they_still_end():
    """Guards against a VM that refuses in its grace what only has to wait a little."""
    plans = [Plan(METHODS[n % 2], n * 5.0, n * 5.0) for n in range(60)]
    bench = StopBench(1_200.0).play(plans)
    assert len(bench.with_status(200)) == len(plans)


def test_bodies_that_end_in_time_are_served_although_many_are_under_way():
    """Guards against refusing requests for those in flight, of which they are part."""
    plans = [Plan("POST", -300.0, -250.0 + n, 1_000.0 + n) for n in range(40)]
    bench = StopBench(2_200.0).play(plans, early=400.0)
    assert len(bench.with_status(200)) >= 32
    assert bench.lost() == []


def test_the_time_of_an_upload_is_not_expected_of_the_response():
    """Guards against refusing requests since the bodies of others arrived slowly."""
    bench = StopBench(100.0, warm_up=0)
    fleet = bench.fleet
    for number in range(12):
        fleet.post(f"/book/slow-{number}", b"x" * 100, vm=bench.vm.vm, chunks=2)
        fleet.run(0.2)
    fleet.run(2.0)
    route = Route("bookings", "book", DEFAULT_POLICY, is_idempotent=False)
    found = bench.vm.vm.placement.overdue_after(route)
    assert found == pytest.approx(200.0, abs=20.0)
