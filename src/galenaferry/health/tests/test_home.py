"""Home VM: detection, duplicate reports, faulty VMs and service-wide failures."""

from galenaferry.health.messages import Counts, HealthState, Report, Verdict
from galenaferry.health.readmission import BASE_EJECTION_MS
from galenaferry.health.tests.builders import HomeBench, make_home


def test_only_the_failing_instance_is_ejected():
    bench = HomeBench().run(20)
    assert bench.sick_keys() == set()
    bench.run(4, lambda name, key: 0.5 if key == 2 else 0.001)
    assert bench.sick_keys() == {2}


def test_service_wide_failures_eject_no_instance():
    bench = HomeBench().run(20).run(30, lambda name, key: 0.4)
    assert bench.sick_keys() == set()


def test_vm_with_a_broken_network_ejects_no_instance():
    bench = (
        HomeBench().run(20).run(60, lambda name, key: 0.8 if name == "vm3" else 0.001)
    )
    assert bench.sick_keys() == set()


def test_failures_seen_by_a_single_vm_eject_no_instance():
    bench = HomeBench().run(20)
    bench.run(30, lambda name, key: 1.0 if (name, key) == ("vm3", 1) else 0.001)
    assert bench.sick_keys() == set()


def test_duplicate_and_reordered_reports_count_once():
    home = make_home()
    home.on_report("a", 1, Report((Counts(1, 0, 0, 0),)), 0.0)
    newer, older = Report((Counts(1, 10, 9, 0),)), Report((Counts(1, 5, 4, 0),))
    for report in (newer, older, newer, newer):
        home.on_report("a", 1, report, 1.0)
    instance = home._instances_by_key[1]
    assert (instance.requests, instance.failures_by_reporter) == (10, {"a": 9})


def test_restarted_vm_starts_from_new_totals():
    home = make_home()
    home.on_report("a", 1, Report((Counts(1, 100, 90, 0),)), 0.0)
    home.on_report("a", 2, Report((Counts(1, 0, 0, 0),)), 1.0)
    home.on_report("a", 1, Report((Counts(1, 200, 190, 0),)), 2.0)
    home.on_report("a", 2, Report((Counts(1, 3, 0, 0),)), 3.0)
    assert home._instances_by_key[1].requests == 3
    assert home._instances_by_key[1].failures_by_reporter == {}


def ejection_time(bench, error_rate_of):
    """Make instance 0 fail, then succeed; return its ejection time in ms."""
    state_machine = bench.home._instances_by_key[0].state_machine
    while state_machine.state is not HealthState.SICK:
        bench.run(0.2, error_rate_of)
    ejected_at = bench.now
    while state_machine.state is HealthState.SICK:
        bench.run(0.2)
    assert 0 < state_machine.permille <= 500
    duration = bench.now - ejected_at
    while state_machine.state is HealthState.PROBATION:
        bench.run(0.2)
    assert state_machine.state is HealthState.HEALTHY
    return duration


def test_instance_recovers_and_repeated_ejections_last_longer():
    bench = HomeBench().run(20)

    def error_rate_of(name, key):
        return 0.9 if key == 0 else 0.001

    durations = [ejection_time(bench, error_rate_of) for _ in range(3)]
    assert BASE_EJECTION_MS <= durations[0] < BASE_EJECTION_MS + 1000.0
    assert durations[1] >= 2.0 * BASE_EJECTION_MS
    assert durations[2] >= 4.0 * BASE_EJECTION_MS


def test_failures_during_probation_eject_the_instance_again():
    bench = HomeBench().run(20).run(4, lambda name, key: 0.9 if key == 0 else 0.001)
    bench.run(20, lambda name, key: 0.9 if key == 0 else 0.001)
    assert bench.home._instances_by_key[0].state_machine._ejection_count >= 2


def test_adopted_sick_verdict_ejects_the_instance():
    home = make_home()
    home.adopt(Verdict(7, HealthState.SICK, 0, 0.9), 5.0)
    verdicts = home.on_tick(6.0)
    assert [(verdict.key, verdict.state) for verdict in verdicts] == [
        (7, HealthState.SICK)
    ]
