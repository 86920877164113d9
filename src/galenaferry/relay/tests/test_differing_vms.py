"""Cut VMs beside VMs with another configuration, key or build."""

import pytest

from galenaferry.backends import connection
from galenaferry.framing.limits import CallerLimits
from galenaferry.network import connect_check
from galenaferry.relay.backends import MAX_RELAYS
from galenaferry.relay.tests.earlier_build import (
    be_earlier_first_hop,
    be_earlier_second_hop,
    use_header_with_parts,
)
from galenaferry.tests.fleet import Fleet, make_document

CUT_VM = 0
PREFIXES = (b"read", b"book")
NEWER = make_document(2, prefixes=(*PREFIXES, b"new"))
"""Configuration with a route that version 1 doesn't have."""
KNOWN_ROUTES = (("GET", "/read/"), ("POST", "/book/"))
BODY = b"x" * 9_000
LONG_HEADER = f"Note: {'n' * 2_000}\r\n"
TIGHT = CallerLimits(body_bytes=4_000)
TIGHT_HEADS = CallerLimits(head_bytes=1_000)
"""Limits below ``BODY`` and ``LONG_HEADER``."""


@pytest.fixture(params=["of this build", "of the earlier build"])
def second_hop(request, monkeypatch):
    if request.param == "of the earlier build":
        be_earlier_second_hop(monkeypatch)


@pytest.fixture
def cut_fleet(monkeypatch, second_hop):
    """Return a function that starts a fleet of which a VM knows that it is cut off."""
    return lambda **parts: make_cut_fleet(monkeypatch, **parts)


@pytest.fixture
def earlier_cut_fleet(monkeypatch):
    """Return such a function; the VM that is cut off is of the earlier build."""
    be_earlier_first_hop(monkeypatch)
    return lambda **parts: make_cut_fleet(monkeypatch, **parts)


def make_cut_fleet(monkeypatch, **parts):
    fleet = Fleet(**parts)
    for module in (connection, connect_check):
        monkeypatch.setattr(module, "connect", fleet.connect)
    fleet.cut(CUT_VM, "reset")
    noticing = 50.0, lambda number: fleet.get("/read/n", vm=fleet.vms[CUT_VM])
    fleet.run(2.0, noticing)
    assert fleet.vms[CUT_VM].backends.is_cut_off
    fleet.run(2.0)
    return fleet


def send(fleet, method, prefix, seconds=3.0, interval=25.0, **parts):
    """Send requests with targets of their own to the cut VM and return them."""
    requests = []

    def send_one(number):
        target, vm = f"{prefix}{number}", fleet.vms[CUT_VM]
        if method == "GET":
            requests.append(fleet.get(target, number % 200, vm, **parts))
        else:
            requests.append(fleet.post(target, BODY, number % 200, vm, **parts))

    fleet.run(seconds, (interval, send_one))
    fleet.run(7.0)
    return requests


def served_share(requests):
    return sum(request.status == 200 for request in requests) / len(requests)


def runs_per_request(fleet, requests):
    return [len(fleet.arrivals_of(r.target.encode())) for r in requests]


def are_refused_with_a_time_to_retry(requests):
    return all(
        request.status == 503
        and request.header("retry-after") is not None
        and request.header("galenaferry-ran") == "not-run"
        for request in requests
    )


@pytest.mark.parametrize("newer", [(0, 1, 2), (0, 1, 3), (0, 3, 4)])
def test_a_route_that_half_of_the_vms_do_not_know_yet_is_served(cut_fleet, newer):
    fleet = cut_fleet()
    fleet.configure(newer, NEWER)
    assert served_share(send(fleet, "GET", "/new/")) >= 0.95
    assert not fleet.rejected


def test_a_route_that_no_other_vm_knows_yet_is_refused_with_a_time_to_retry(cut_fleet):
    fleet = cut_fleet()
    fleet.configure([CUT_VM], NEWER)
    assert are_refused_with_a_time_to_retry(send(fleet, "GET", "/new/", 1.0))


def test_a_route_that_the_newer_configuration_of_other_vms_lacks_is_not_rejected(
    cut_fleet,
):
    fleet = cut_fleet()
    fleet.configure((1, 2, 3), make_document(2, prefixes=(b"read",)))
    requests = send(fleet, "POST", "/book/")
    assert served_share(requests) >= 0.95
    assert set(runs_per_request(fleet, requests)) <= {0, 1}


@pytest.mark.parametrize(("method", "prefix"), KNOWN_ROUTES)
def test_vms_with_another_key_do_not_deny_what_they_are_asked_to_pass_on(
    cut_fleet, method, prefix
):
    fleet = cut_fleet(key_by_vm={1: b"other", 3: b"other"})
    requests = send(fleet, method, prefix)
    assert served_share(requests) >= 0.95
    assert set(runs_per_request(fleet, requests)) <= {0, 1}


def test_a_vm_whose_key_no_other_vm_has_refuses_with_a_time_to_retry(cut_fleet):
    # A read at the start is refused as well, so the VM is cut off all the same.
    fleet = cut_fleet(key_by_vm={CUT_VM: b"other"})
    assert are_refused_with_a_time_to_retry(send(fleet, "GET", "/read/", 1.0))


@pytest.mark.parametrize("chunks", [0, 2_000])
def test_bodies_above_the_limit_of_other_vms_are_not_rejected(cut_fleet, chunks):
    fleet = cut_fleet()
    fleet.configure((1, 2, 3), make_document(2, limits=TIGHT))
    requests = send(fleet, "POST", "/book/", chunks=chunks)
    assert served_share(requests) >= 0.95
    assert set(runs_per_request(fleet, requests)) <= {0, 1}


@pytest.mark.parametrize(("method", "prefix"), KNOWN_ROUTES)
def test_heads_above_the_limit_of_other_vms_are_not_rejected(cut_fleet, method, prefix):
    fleet = cut_fleet()
    fleet.configure((1, 2, 3), make_document(2, limits=TIGHT_HEADS))
    requests = send(fleet, method, prefix, lines=LONG_HEADER)
    assert served_share(requests) >= 0.95
    assert set(runs_per_request(fleet, requests)) <= {0, 1}


def test_a_refusal_accuses_neither_an_instance_nor_a_link(cut_fleet):
    fleet = cut_fleet()
    fleet.configure([CUT_VM], NEWER)
    send(fleet, "GET", "/new/", 1.0)
    for vm in fleet.vms:
        rows = vm.placement.dump()["bookings"].values()
        assert max(row["sick"] for row in rows) < 0.5
    before = fleet.vms[CUT_VM].backends.relayed_count
    known = send(fleet, "GET", "/read/", 1.0)
    assert served_share(known) == 1.0
    assert fleet.vms[CUT_VM].backends.relayed_count == before + len(known)


def test_a_vm_that_refused_a_route_is_not_asked_for_it_by_each_request(cut_fleet):
    fleet = cut_fleet()
    fleet.configure((0, 4, 5), NEWER)
    before = fleet.vms[CUT_VM].backends.relayed_count
    requests = send(fleet, "GET", "/new/", 4.0)
    relays = fleet.vms[CUT_VM].backends.relayed_count - before
    assert relays <= len(requests) + 2 * MAX_RELAYS


def test_a_404_of_an_instance_is_passed_on_by_way_of_another_vm(cut_fleet):
    fleet = cut_fleet()
    for server in fleet.servers:
        server.status = b"404 Not Found"
    requests = send(fleet, "GET", "/read/", 0.5)
    assert {request.status for request in requests} == {404}
    assert runs_per_request(fleet, requests) == [1] * len(requests)


def test_a_cut_vm_of_the_earlier_build_finds_a_route_that_some_vms_do_not_know(
    earlier_cut_fleet,
):
    fleet = earlier_cut_fleet()
    fleet.configure((0, 4, 5), NEWER)
    requests = send(fleet, "GET", "/new/")
    # It asks the same VMs again for each request.
    assert served_share(requests) >= 1.0 / 3.0
    assert {request.status for request in requests} <= {200, 503}


@pytest.mark.parametrize(("method", "prefix"), KNOWN_ROUTES)
def test_a_cut_vm_of_the_earlier_build_is_not_rejected_for_its_key(
    earlier_cut_fleet, method, prefix
):
    fleet = earlier_cut_fleet(key_by_vm={1: b"other", 3: b"other"})
    requests = send(fleet, method, prefix)
    assert served_share(requests) >= 0.75
    assert {request.status for request in requests} <= {200, 503}


@pytest.mark.parametrize("chunks", [0, 2_000])
def test_a_cut_vm_of_the_earlier_build_may_send_what_is_above_the_limits_of_others(
    earlier_cut_fleet, chunks
):
    fleet = earlier_cut_fleet()
    fleet.configure((1, 2, 3), make_document(2, limits=TIGHT))
    requests = send(fleet, "POST", "/book/", chunks=chunks)
    assert served_share(requests) == 1.0
    assert runs_per_request(fleet, requests) == [1] * len(requests)


def test_a_head_just_below_the_limit_of_all_vms_goes_by_way_of_another_vm(monkeypatch):
    limits = CallerLimits(head_bytes=1_000)
    fleet = make_cut_fleet(monkeypatch, document=make_document(1, limits=limits))
    requests = send(fleet, "POST", "/book/", 1.0, lines=f"Note: {'n' * 880}\r\n")
    assert served_share(requests) == 1.0
    above = send(fleet, "POST", "/book/", 0.1, lines=f"Note: {'n' * 980}\r\n")
    assert {request.status for request in above} == {431}
    fleet.rejected = [request for request in fleet.rejected if request not in above]


@pytest.mark.parametrize("parts", [2, 4])
def test_requests_with_a_header_of_another_build_are_not_left_without_an_answer(
    monkeypatch, parts
):
    use_header_with_parts(monkeypatch, parts)
    fleet = make_cut_fleet(monkeypatch)
    statuses = {request.status for request in send(fleet, "POST", "/book/", 1.0)}
    assert statuses == ({200} if parts == 2 else {503})
