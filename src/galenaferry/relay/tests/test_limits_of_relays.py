"""Limits of the VM by way of which a request goes: its caller's VM has checked them."""

import itertools

import pytest

from galenaferry.backends import connection
from galenaferry.framing.limits import CallerLimits
from galenaferry.framing.messages import RequestHead
from galenaferry.framing.requests import MAX_HEADER_COUNT
from galenaferry.network import connect_check
from galenaferry.relay.origin import Origin
from galenaferry.tests.fleet import Fleet, make_document


@pytest.fixture
def fleet(monkeypatch):
    """A fleet of which the first VM knows that it reaches no instance."""
    fleet = Fleet()
    for module in (connection, connect_check):
        monkeypatch.setattr(module, "connect", fleet.connect)
    fleet.cut(0, "refuse")
    for number in range(8):
        fleet.get(f"/read/{number}", vm=fleet.vms[0])
    fleet.run(2.0)
    return fleet


def change_limits(vm, version, **limits):
    vm.routes.replace_if_newer(
        make_document(version)._replace(limits=CallerLimits(**limits))
    )


def large_headers(size):
    return f"X: {'x' * size}\r\n"


def test_the_headers_of_the_fleet_do_not_make_a_head_too_large(fleet):
    head_bytes = CallerLimits().head_bytes
    cut, other = fleet.vms[:2]
    sent = [
        (
            fleet.get("/read/x", vm=other, lines=large_headers(head_bytes - rest)),
            fleet.get("/read/x", vm=cut, lines=large_headers(head_bytes - rest)),
        )
        for rest in range(90, 300, 6)
    ]
    # Some heads are beyond the limit of callers.
    for request in itertools.chain(*sent):
        request.is_proper = False
    fleet.run(2.0)
    assert {direct.status for direct, _ in sent} == {200, 431}
    assert all(direct.status == relayed.status for direct, relayed in sent)


def test_the_headers_of_the_fleet_do_not_make_too_many(fleet):
    authentication = fleet.vms[0].authentication
    head = RequestHead(b"GET", b"/read/x", "1.1", ((b"host", b"a"),), 0, True, False)
    request_id = b"q%d" % (fleet.request_count + 1)
    name, value = authentication.header(head, request_id, Origin("10.0.0.1"))
    # Named in Connection, they don't reach the instance, which has a limit too.
    lines = "Connection: X\r\n" + "X: y\r\n" * (MAX_HEADER_COUNT - 4)
    lines += f"{name.decode()}: {value.decode()}\r\n"
    fleet.vms[1].component = fleet.vms[1].relay
    request = fleet.get("/read/x", vm=fleet.vms[1], lines=lines)
    fleet.run(1.0)
    assert request.status == 200


def test_older_limits_of_other_vms_do_not_make_a_body_too_large(fleet):
    for vm in fleet.vms:
        change_limits(vm, 2, body_bytes=1_000)
    change_limits(fleet.vms[0], 3, body_bytes=100_000)
    sized = fleet.post("/book/sized", b"x" * 50_000, vm=fleet.vms[0])
    chunked = fleet.post("/book/chunked", b"x" * 50_000, vm=fleet.vms[0], chunks=900)
    fleet.run(3.0)
    assert (sized.status, chunked.status) == (200, 200)


def test_older_limits_of_other_vms_do_not_make_a_head_too_large(fleet):
    for vm in fleet.vms:
        change_limits(vm, 2, head_bytes=2_000)
    change_limits(fleet.vms[0], 3, head_bytes=20_000)
    request = fleet.get("/read/x", vm=fleet.vms[0], lines=large_headers(10_000))
    fleet.run(3.0)
    assert request.status == 200
