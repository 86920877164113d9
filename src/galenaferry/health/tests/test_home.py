"""The home: detection, double counting, broken VMs, trouble of everybody."""

from galenaferry.health.messages import Counts, HealthState, Report, Verdict
from galenaferry.health.readmission import FIRST_HOLD_MS
from galenaferry.health.tests.builders import HomeBench, make_home


def test_a_failing_instance_is_found_and_no_other():
    bench = HomeBench().run(20)
    assert bench.sick() == set()
    bench.run(4, lambda name, key: 0.5 if key == 2 else 0.001)
    assert bench.sick() == {2}


def test_trouble_of_the_whole_service_ejects_nobody():
    bench = HomeBench().run(20).run(30, lambda name, key: 0.4)
    assert bench.sick() == set()


def test_a_vm_whose_own_network_is_broken_ejects_nobody():
    bench = (
        HomeBench().run(20).run(60, lambda name, key: 0.8 if name == "vm3" else 0.001)
    )
    assert bench.sick() == set()


def test_one_vm_that_fails_at_one_instance_is_no_evidence_for_the_fleet():
    bench = HomeBench().run(20)
    bench.run(30, lambda name, key: 1.0 if (name, key) == ("vm3", 1) else 0.001)
    assert bench.sick() == set()


def test_repeated_and_overtaken_reports_count_once():
    home = make_home()
    home.on_report("a", 1, Report((Counts(1, 0, 0, 0),)), 0.0)
    newer, older = Report((Counts(1, 10, 9, 0),)), Report((Counts(1, 5, 4, 0),))
    for report in (newer, older, newer, newer):
        home.on_report("a", 1, report, 1.0)
    instance = home._instances_by_key[1]
    assert (instance.requests, instance.failures_by_reporter) == (10, {"a": 9})


def test_a_restarted_vm_starts_from_new_totals():
    home = make_home()
    home.on_report("a", 1, Report((Counts(1, 100, 90, 0),)), 0.0)
    home.on_report("a", 2, Report((Counts(1, 0, 0, 0),)), 1.0)
    home.on_report("a", 1, Report((Counts(1, 200, 190, 0),)), 2.0)
    home.on_report("a", 2, Report((Counts(1, 3, 0, 0),)), 3.0)
    assert home._instances_by_key[1].requests == 3
    assert home._instances_by_key[1].failures_by_reporter == {}


def hold_of(bench, error_of):
    """Make instance 0 sick, let it work well and return its hold in ms."""
    course = bench.home._instances_by_key[0].course
    while course.state is not HealthState.SICK:
        bench.run(0.2, error_of)
    ejected_at = bench.now
    while course.state is HealthState.SICK:
        bench.run(0.2)
    assert 0 < course.permille <= 500
    hold = bench.now - ejected_at
    while course.state is HealthState.PROBATION:
        bench.run(0.2)
    assert course.state is HealthState.HEALTHY
    return hold


def test_an_instance_comes_back_after_good_work_and_flapping_holds_longer():
    bench = HomeBench().run(20)

    def error_of(name, key):
        return 0.9 if key == 0 else 0.001

    holds = [hold_of(bench, error_of) for _ in range(3)]
    assert FIRST_HOLD_MS <= holds[0] < FIRST_HOLD_MS + 1000.0
    assert holds[1] >= 2.0 * FIRST_HOLD_MS
    assert holds[2] >= 4.0 * FIRST_HOLD_MS


def test_failures_in_probation_end_it():
    bench = HomeBench().run(20).run(4, lambda name, key: 0.9 if key == 0 else 0.001)
    bench.run(20, lambda name, key: 0.9 if key == 0 else 0.001)
    assert bench.home._instances_by_key[0].course._rounds >= 2


def test_another_home_learns_of_a_sick_instance():
    home = make_home()
    home.adopt(Verdict(7, HealthState.SICK, 0, 0.9), 5.0)
    verdicts = home.on_tick(6.0)
    assert [(verdict.key, verdict.state) for verdict in verdicts] == [
        (7, HealthState.SICK)
    ]
