"""Evidence of this VM, its reports and the choice of home VMs."""

from galenaferry.attempts.messages import Evidence
from galenaferry.health.evidence import LocalEvidence, SlowThreshold
from galenaferry.health.home_vms import home_vms
from galenaferry.health.report_sender import (
    BURST_DATAGRAMS,
    DATAGRAMS_PER_SECOND,
    ReportSender,
)


def observe(evidence, address, target, kind, now=0.0, latency=5.0):
    return evidence.observe(address, "north", "GET /a", target, kind, latency, now)


def test_poison_request_counts_against_one_instance_at_most():
    evidence = LocalEvidence()
    counted = [
        observe(evidence, f"i{n % 3}", b"/poison", Evidence.FAILURE, n)
        for n in range(9)
    ]
    assert counted.count(True) == 1


def test_every_failure_counts_for_a_request_that_succeeded_elsewhere():
    evidence = LocalEvidence()
    observe(evidence, "i1", b"/popular", Evidence.SUCCESS)
    assert [
        observe(evidence, "i0", b"/popular", Evidence.FAILURE, n) for n in range(3)
    ] == [True] * 3


def test_sheds_and_broken_connections_are_not_counted():
    evidence = LocalEvidence()
    for kind in (Evidence.SHED, Evidence.CONNECTION, Evidence.LINK, Evidence.NONE):
        observe(evidence, "i0", b"/a", kind)
    assert evidence.counts("i0")[1:] == (0, 0, 0)


def test_one_response_in_ten_counts_as_slow():
    threshold = SlowThreshold()
    latencies = [5.0 + (n * 37 % 100) / 10.0 for n in range(5000)]
    slow = sum(threshold.is_slow(latency) for latency in latencies)
    assert 0.08 < slow / 5000 < 0.12


def test_failures_are_reported_first_within_the_datagram_budget():
    evidence = LocalEvidence()
    report_sender = ReportSender(evidence, lambda service: (f"home-{service}",))
    for number in range(100):
        observe(evidence, f"i{number}", b"/a", Evidence.SUCCESS)
        report_sender.mark_changed(f"s{number}", f"i{number}", number == 99, 0.0)
    sent = report_sender.flush(0.0)
    assert len(sent) == BURST_DATAGRAMS
    assert [row.home for row in sent[:3]] == ["home-s99", "home-s99", "home-s0"]
    later = [len(report_sender.flush(200.0 * tick)) for tick in range(1, 6)]
    assert sum(later) <= DATAGRAMS_PER_SECOND
    total = sum(later) + len(sent)
    for tick in range(6, 20):
        total += len(report_sender.flush(200.0 * tick))
    assert total == 101


def test_home_vms_change_only_for_services_of_a_leaving_member():
    members = [f"vm{n}" for n in range(20)]
    services = [f"s{n}" for n in range(200)]
    before = {service: home_vms(service, members) for service in services}
    after = {service: home_vms(service, members[1:]) for service in services}
    changed = [service for service in services if before[service] != after[service]]
    assert all("vm0" in before[service] for service in changed)
    assert len(changed) < 50
