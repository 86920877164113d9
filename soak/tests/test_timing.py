"""The soak's timing checks report late events, but none excused by a fault."""

import pytest

from soak.timing import RECOVERY_MS, VM_RESTART_MS, TimingChecks

VM = ("127.0.0.2", 20000)


def findings_of(*events):
    timing = TimingChecks([])
    for name, *arguments in events:
        getattr(timing, name)(*arguments)
    return timing._findings


# Times are in milliseconds. The bounds of ``soak.timing`` are 2 s after draining and
# after a configuration, and 2.5 s after the start of a graceful shutdown.
LATE_TO_DRAINING = (
    ("on_instance_draining", "i-1", 1_000.0),
    ("on_request_sent", "b1", VM, 3_100.0),
)
RUNS_ON_DRAINING = ("on_execution", "b1", "i-1", "one", 3_110.0)
LATE_AFTER_CONFIGURATION = (
    ("on_configuration_written", "one", 0.0),
    ("on_configuration_written", "two", 5_000.0),
    ("on_request_sent", "b1", VM, 7_100.0),
)
RUNS_ON_OLD_SERVICE = ("on_execution", "b1", "i-1", "one", 7_110.0)
SENT_AFTER_STOP = (("on_vm_stop", VM, 9_000.0), ("on_request_sent", "b1", VM, 9_500.0))
CONNECTION_LOST = ("on_connection_lost", "b1", 10_000.0)


@pytest.mark.parametrize(
    ("events", "text"),
    [
        ((*LATE_TO_DRAINING, RUNS_ON_DRAINING), "which leaves"),
        ((*LATE_AFTER_CONFIGURATION, RUNS_ON_OLD_SERVICE), "old configuration"),
        ((*SENT_AFTER_STOP, CONNECTION_LOST), "graceful shutdown"),
    ],
)
def test_late_event_is_reported(events, text):
    findings = findings_of(*events)
    assert len(findings) == 1
    assert text in findings[0]


@pytest.mark.parametrize(
    "events",
    [
        (
            ("on_instance_draining", "i-1", 1_000.0),
            ("on_request_sent", "b1", VM, 2_900.0),
            RUNS_ON_DRAINING,
        ),
        (
            *LATE_AFTER_CONFIGURATION[:2],
            ("on_request_sent", "b1", VM, 6_900.0),
            RUNS_ON_OLD_SERVICE,
        ),
        (*LATE_AFTER_CONFIGURATION, ("on_execution", "b1", "i-1", "two", 7_110.0)),
        (
            *LATE_AFTER_CONFIGURATION[:2],
            ("on_request_sent", "q1", VM, 7_100.0),
            ("on_execution", "q1", "i", "one", 7_110.0),
        ),
        (
            ("on_vm_stop", VM, 9_000.0),
            ("on_request_sent", "b1", VM, 11_600.0),
            CONNECTION_LOST,
        ),
        (*SENT_AFTER_STOP, ("on_vm_fault", VM, 8_000.0, 100.0), CONNECTION_LOST),
    ],
)
def test_event_in_time_or_excused_is_not_reported(events):
    assert findings_of(*events) == []


@pytest.mark.parametrize("begins_at", [500.0, 3_000.0])
def test_fault_of_store_or_same_vm_excuses_late_event(begins_at):
    assert (
        findings_of(
            ("on_store_fault", begins_at, 100.0), *LATE_TO_DRAINING, RUNS_ON_DRAINING
        )
        == []
    )
    assert (
        findings_of(
            ("on_vm_fault", VM, begins_at, 100.0), *LATE_TO_DRAINING, RUNS_ON_DRAINING
        )
        == []
    )
    other = ("127.0.0.3", 20000)
    assert (
        len(
            findings_of(
                ("on_vm_fault", other, begins_at, 100.0),
                *LATE_TO_DRAINING,
                RUNS_ON_DRAINING,
            )
        )
        == 1
    )


def limited(*vms, count, limit=1.0):
    """Return the events of requests that reach an instance after it named a limit."""
    events = [("on_request_sent", f"q{n}", vm, 0.0) for n, vm in enumerate(vms)]
    for number in range(len(vms)):
        events += [
            ("on_execution", f"q{number}", "i-1", "one", 90.0),
            ("on_limit_named", f"q{number}", "i-1", limit, 100.0),
            ("on_answer_passed_on", f"q{number}", True, False, 110.0),
        ]
    for number in range(count):
        vm = vms[number % len(vms)]
        events += [
            ("on_request_sent", f"r{number}", vm, 0.0),
            ("on_arrival", f"r{number}", "i-1", 4_000.0 + number),
        ]
    return events


def test_more_requests_than_a_limit_allows_are_reported():
    other = ("127.0.0.3", 20000)
    assert findings_of(*limited(VM, other, count=11)) == []
    text = "i-1 got 12 requests with a limit of 1.0 a second"
    assert findings_of(*limited(VM, other, count=12)) == [text]


def test_requests_of_a_vm_that_started_again_do_not_count_toward_a_limit():
    events = limited(VM, count=12)
    restarted = ("on_vm_fault", VM, 3_000.0, 100.0)
    assert findings_of(*events[:4], restarted, *events[4:]) == []


ANNOUNCED_LEAVING = (
    ("on_request_sent", "q1", VM, 900.0),
    ("on_execution", "q1", "i-1", "one", 950.0),
    ("on_answer_passed_on", "q1", False, True, 1_000.0),
)


def test_a_request_to_an_instance_that_said_it_leaves_is_reported():
    early, late = (("on_request_sent", "b1", VM, at) for at in (2_900.0, 3_100.0))
    text = "b1 reached i-1, which said it leaves"
    assert findings_of(*ANNOUNCED_LEAVING, early, RUNS_ON_DRAINING) == []
    assert findings_of(*ANNOUNCED_LEAVING, late, RUNS_ON_DRAINING) == [text]
    outage = ("on_store_fault", 0.0, 9_000.0)
    assert findings_of(outage, *ANNOUNCED_LEAVING, late, RUNS_ON_DRAINING) == [text]
    restart = ("on_vm_fault", VM, 2_000.0, 100.0)
    assert findings_of(*ANNOUNCED_LEAVING, restart, late, RUNS_ON_DRAINING) == []


def test_a_stop_may_cut_an_endless_response_at_the_timeout_of_its_route():
    endless = ("on_endless_response", "b1")
    late, early = (("on_connection_lost", "b1", at) for at in (11_500.0, 11_400.0))
    assert findings_of(*SENT_AFTER_STOP, endless, late) == []
    assert len(findings_of(*SENT_AFTER_STOP, endless, early)) == 1


@pytest.mark.parametrize(
    ("event", "disturbed_until"),
    [
        (("on_vm_stop", VM, 10_000.0), 10_000.0 + VM_RESTART_MS + RECOVERY_MS),
        (("on_vm_fault", VM, 10_000.0, 500.0), 10_500.0 + RECOVERY_MS),
    ],
)
def test_a_vm_is_in_touch_until_a_fault_and_again_some_time_after(
    event, disturbed_until
):
    timing = TimingChecks([])
    assert timing.is_in_touch(VM, 9_000.0)
    name, *arguments = event
    getattr(timing, name)(*arguments)
    assert not timing.is_in_touch(VM, 10_000.0)
    assert not timing.is_in_touch(VM, disturbed_until)
    assert timing.is_in_touch(VM, disturbed_until + 1.0)


TOLD_OF_LEAVING = (
    ("on_request_sent", "q1", VM, 1_000.0),
    ("on_execution", "q1", "i-1", "one", 1_010.0),
    ("on_answer_passed_on", "q1", False, True, 1_020.0),
)
RUNS_AFTER_DRAIN_TIMEOUT = (
    ("on_request_sent", "q2", VM, 3_100.0),
    ("on_execution", "q2", "i-1", "one", 3_110.0),
)


def test_what_an_instance_announced_before_it_crashed_does_not_bind_for_its_next_start():
    assert findings_of(*TOLD_OF_LEAVING, *RUNS_AFTER_DRAIN_TIMEOUT)
    crash = "on_instance_crash", "i-1", 1_000.0
    assert not findings_of(*TOLD_OF_LEAVING, crash, *RUNS_AFTER_DRAIN_TIMEOUT)
    told_again = tuple((name, "q3", *rest) for name, _, *rest in TOLD_OF_LEAVING)
    assert findings_of(crash, *told_again, *RUNS_AFTER_DRAIN_TIMEOUT)


@pytest.mark.parametrize(("crashed_at", "count"), [(9_400.0, 1), (9_600.0, 0)])
def test_a_response_that_its_instance_broke_off_was_not_cut_by_the_stop(
    crashed_at, count
):
    runs = "on_execution", "b1", "i-1", "one", 9_510.0
    crash = "on_instance_crash", "i-1", crashed_at
    events = (*SENT_AFTER_STOP, runs, crash, CONNECTION_LOST)
    assert len(findings_of(*events)) == count
