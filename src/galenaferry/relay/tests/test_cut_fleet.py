"""A fleet in which some VMs reach no instance."""

import pytest

from galenaferry.backends import connection
from galenaferry.network import connect_check
from galenaferry.tests.fleet import Fleet

STABILITY_S = 3.0
SERVED_SHARE = 2.0 / 3.0
"""Least ratio of the shares of first tries that cut VMs and others serve."""
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1.0 / 50.0


@pytest.fixture
def make_fleet(monkeypatch):
    def make(**parts):
        fleet = Fleet(**parts)
        for module in (connection, connect_check):
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


@pytest.mark.parametrize("how", ["refuse", "reset", "hang"])
def test_callers_of_vms_that_reach_no_instance_are_served(make_fleet, how):
    cut = {0, 1, 2, 3}
    requests = run_cut_off(make_fleet(), cut, how)
    assert not breaks_promise(requests, cut)


@pytest.mark.parametrize("how", ["refuse", "hang"])
def test_callers_of_a_zone_that_reaches_no_instance_are_served(make_fleet, how):
    fleet = make_fleet(vms=9)
    cut = {number for number in range(9) if number % 3 == 0}
    assert not breaks_promise(run_cut_off(fleet, cut, how), cut)
