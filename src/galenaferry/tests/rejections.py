"""Fails each test in which a VM of a fleet answers a proper request as wrong."""

import pytest

from galenaferry.tests.fleet import fleets


@pytest.fixture(autouse=True)
def no_proper_request_is_rejected():
    fleets.clear()
    yield
    rejected = [request for fleet in fleets for request in fleet.rejected]
    fleets.clear()
    assert not rejected, [(r.vm.name, r.target, r.status, r.reason) for r in rejected]
