"""Fails each test in which a VM of a fleet answers a proper request as wrong."""

import pytest

from galenaferry.tests.fleet import fleets


@pytest.fixture(autouse=True)
def no_proper_request_is_denied():
    fleets.clear()
    yield
    denied = [request for fleet in fleets for request in fleet.denied]
    fleets.clear()
    assert not denied, [(r.vm.name, r.target, r.status, r.reason) for r in denied]
