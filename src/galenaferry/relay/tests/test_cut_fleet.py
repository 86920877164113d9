"""A fleet in which some VMs reach no instance."""

import pytest

from galenaferry.attempts.messages import RelayRefused
from galenaferry.attempts.outcomes import evaluate_outcome
from galenaferry.backends import connection
from galenaferry.backends.messages import Instance
from galenaferry.network import connect_check, fetch
from galenaferry.tests.fleet import Fleet
from galenaferry.tests.simulated_instances import HOST

STABILITY_S = 3.0
SERVED_SHARE = 2.0 / 3.0
"""Least ratio of the shares of first tries that cut VMs and others serve."""
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1.0 / 50.0


@pytest.fixture
def make_fleet(monkeypatch):
    def make(**parts):
        fleet = Fleet(**parts)
        for module in (connection, connect_check, fetch):
            monkeypatch.setattr(module, "connect", fleet.connect)
        return fleet

    return make


def mixed_load(fleet, requests):
    """Return streams of reads and bookings; the requests are added to a list."""

    def read(number):
        requests.append(fleet.get(f"/read/{number}", caller=number % 200))

    def book(number):
        target = f"/book/{number}"
        requests.append(fleet.post(target, b"data", caller=number % 200))

    return (30.0, read), (35.0, book)


def run_cut_off(fleet, cut, how, seconds=6.0):
    """Cut VMs off and return the requests sent from ``STABILITY_S`` after that on."""
    fleet.run(3.0, *mixed_load(fleet, []))
    for number in cut:
        fleet.cut(number, how)
    fleet.run(STABILITY_S, *mixed_load(fleet, []))
    requests = []
    fleet.run(seconds, *mixed_load(fleet, requests))
    fleet.run(7.0)
    return requests


def breaks_promise(requests, cut):
    """Whether cut VMs serve first tries far less often than the others."""
    at_cut = [r for r in requests if r.vm.number in cut]
    at_others = [r for r in requests if r.vm.number not in cut]
    assert len(at_cut) > 50
    served_at_cut = sum(r.status == 200 for r in at_cut) / len(at_cut)
    served_at_others = sum(r.status == 200 for r in at_others) / len(at_others)
    failed = sum(r.status != 200 for r in at_cut)
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(at_cut)
    return served_at_cut < SERVED_SHARE * served_at_others and failed > allowed


@pytest.mark.parametrize("how", ["refuse", "reset", "close", "hang"])
def test_callers_of_vms_that_reach_no_instance_are_served(make_fleet, how):
    cut = {0, 1, 2, 3}
    requests = run_cut_off(make_fleet(), cut, how)
    assert not breaks_promise(requests, cut)


@pytest.mark.parametrize("how", ["accept", "reset on data"])
@pytest.mark.parametrize("cut", [{0, 1}, {0, 1, 2, 3}])
@pytest.mark.parametrize("seed", [1, 2])
def test_callers_of_vms_whose_connections_are_accepted_and_not_answered_are_served(
    make_fleet, how, cut, seed
):
    requests = run_cut_off(make_fleet(seed=seed), cut, how)
    assert not breaks_promise(requests, cut)


@pytest.mark.parametrize("how", ["refuse", "hang"])
def test_callers_of_a_zone_that_reaches_no_instance_are_served(make_fleet, how):
    fleet = make_fleet(vms=9)
    cut = {number for number in range(9) if number % 3 == 0}
    assert not breaks_promise(run_cut_off(fleet, cut, how), cut)


def run_cut(make_fleet, how="hang", cut=(0,), **parts):
    """Return a fleet in which some VMs know for seconds that they are cut off."""
    fleet = make_fleet(**parts)
    fleet.run(2.0, *mixed_load(fleet, []))
    for number in cut:
        fleet.cut(number, how)
    fleet.run(4.0, *mixed_load(fleet, []))
    return fleet


@pytest.mark.parametrize("how", ["reset", "hang"])
def test_bookings_by_way_of_another_vm_run_once(make_fleet, how):
    fleet = run_cut(make_fleet, how)
    requests = [
        fleet.post(f"/book/once-{number}", b"data", vm=fleet.vms[0])
        for number in range(20)
    ]
    fleet.run(3.0)
    for request in requests:
        arrivals = fleet.arrivals_of(request.target.encode())
        assert (request.status, len(arrivals)) == (200, 1)


def test_the_answer_of_the_instance_passes_unchanged(make_fleet):
    fleet = run_cut(make_fleet)
    body = b"x" * 300_000
    direct = fleet.post("/book/large", body, vm=fleet.vms[1], chunks=50_000)
    relayed = fleet.post("/book/large", body, vm=fleet.vms[0], chunks=50_000)
    fleet.run(2.0)
    assert direct.received.partition(b"\r\n\r\n")[2] == b"done /book/large 300000"
    assert relayed.received.partition(b"\r\n\r\n")[2] == b"done /book/large 300000"
    assert relayed.header("galenaferry-response-signature") == "s"


def test_requests_take_one_hop_and_are_refused_at_once_if_nobody_reaches_instances(
    make_fleet,
):
    fleet = run_cut(make_fleet, cut=range(6))
    requests = [fleet.get(f"/read/none-{number}") for number in range(12)]
    fleet.run(5.0)
    assert {request.status for request in requests} <= {503, 504}
    arrivals = [a for a in fleet.arrivals if a.target.startswith(b"/read/none")]
    assert not arrivals


def test_what_a_cut_vm_sees_of_instances_is_not_told(make_fleet):
    fleet = run_cut(make_fleet)
    for vm in fleet.vms[1:]:
        rows = vm.placement.dump()["bookings"].values()
        assert max(row["sick"] for row in rows) < 0.5
        assert not vm.guard.suspect_count


def test_callers_without_the_key_of_the_fleet_are_refused_at_the_relay_port(make_fleet):
    fleet = make_fleet()
    fleet.vms[0].component = fleet.vms[0].relay
    request = fleet.get("/read/x", vm=fleet.vms[0])
    request.is_proper = False
    fleet.run(0.5)
    assert request.status == 403
    assert not fleet.arrivals


def test_direct_requests_return_after_a_cut(make_fleet):
    fleet = run_cut(make_fleet)
    assert fleet.vms[0].backends.is_cut_off
    fleet.heal(0)
    fleet.run(5.0, *mixed_load(fleet, []))
    assert not fleet.vms[0].backends.is_cut_off
    relayed = fleet.vms[0].backends.relayed_count
    requests = [fleet.get(f"/read/back-{n}", vm=fleet.vms[0]) for n in range(10)]
    fleet.run(2.0)
    assert all(request.status == 200 for request in requests)
    assert fleet.vms[0].backends.relayed_count == relayed


@pytest.mark.parametrize("how", ["accept", "reset on data"])
def test_a_vm_does_not_return_before_instances_answer(make_fleet, how):
    fleet = run_cut(make_fleet, how)
    assert fleet.vms[0].backends.is_cut_off
    for _ in range(20):
        fleet.run(0.2, *mixed_load(fleet, []))
        assert fleet.vms[0].backends.is_cut_off
    fleet.heal(0)
    fleet.run(4.0, *mixed_load(fleet, []))
    assert not fleet.vms[0].backends.is_cut_off


def test_instances_of_one_service_that_do_not_answer_are_no_cut(make_fleet):
    fleet = make_fleet(work_ms=20_000.0, slots=1)
    fleet.run(8.0, *mixed_load(fleet, []))
    assert not any(vm.backends.is_cut_off for vm in fleet.vms)


def test_a_hop_that_breaks_in_the_midst_is_not_said_not_to_have_run(make_fleet):
    fleet = run_cut(make_fleet, work_ms=400.0)
    requests = [
        fleet.post(f"/book/broken-{number}", b"data", vm=fleet.vms[0])
        for number in range(6)
    ]
    fleet.run(0.2)
    for vm in fleet.vms[1:]:
        for caller in list(vm.relay._callers):
            caller.close()
    fleet.run(6.0)
    for request in requests:
        arrivals = fleet.arrivals_of(request.target.encode())
        assert len(arrivals) <= 1
        assert not (arrivals and request.status == 503)


def test_a_request_that_crashes_instances_is_blocked_at_a_cut_vm_too(make_fleet):
    fleet = run_cut(make_fleet)
    fleet.crashing.add((b"/read/poison", b""))
    poison = 400.0, lambda _: fleet.get("/read/poison", caller=9, vm=fleet.vms[0])
    fleet.run(14.0, poison)
    assert len(fleet.crashes) == 3


def test_a_read_by_way_of_a_vm_that_stopped_goes_to_another_one(make_fleet):
    fleet = run_cut(make_fleet, vms=3)
    for caller in list(fleet.vms[1].relay._callers):
        caller._stream.pause()
    fleet.vms[1].relay._accept = lambda sock: None
    requests = [fleet.get(f"/read/stop-{n}", vm=fleet.vms[0]) for n in range(8)]
    fleet.run(6.5)
    assert [request.status for request in requests] == [200] * 8


def test_a_service_without_instances_does_not_keep_others_from_being_passed_on(
    make_fleet,
):
    fleet = run_cut(make_fleet)
    backends = fleet.vms[0].backends
    evidence = evaluate_outcome(RelayRefused(503)).evidence
    for vm in fleet.vms[1:]:
        address = f"{HOST}:{vm.relay.port}"
        backends.pool(Instance(address, "", "north", False, is_relay=True))
        backends.observe("empty", address, "r", b"/", evidence, 1.0)
    requests = [fleet.get(f"/read/other-{n}", vm=fleet.vms[0]) for n in range(6)]
    fleet.run(0.5)
    assert [request.status for request in requests] == [200] * 6


@pytest.mark.parametrize("how", ["close", "hang"])
def test_bookings_that_no_vm_can_send_on_are_refused_at_once_and_did_not_run(
    make_fleet, how
):
    fleet = run_cut(make_fleet, how, cut=range(6))
    fleet.run(3.0)
    requests = [fleet.post(f"/book/none-{n}", b"data") for n in range(20)]
    fleet.run(0.5)
    assert [request.status for request in requests] == [503] * 20
    assert not [a for a in fleet.arrivals if a.target.startswith(b"/book/none")]


def test_instances_that_hang_do_not_count_against_the_vms_that_pass_requests_on(
    make_fleet,
):
    fleet = run_cut(make_fleet, vms=3)
    for server in fleet.servers[:3]:
        server.work_ms = 60_000.0
    requests = []

    def read(number):
        requests.append(fleet.get(f"/read/hung-{number}", vm=fleet.vms[0]))

    fleet.run(6.0, (40.0, read))
    fleet.run(7.0)
    assert not [request for request in requests if request.status == 503]
