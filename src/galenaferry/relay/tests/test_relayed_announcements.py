"""Announcements of instances in a fleet of which one VM is cut off.

All messages between VMs are lost: the VM that passes an answer on to its caller must
know by itself what the instance announced in it.
"""

import pytest

from galenaferry.backends import connection
from galenaferry.network import connect_check
from galenaferry.tests.fleet import Fleet

DRAIN_TIMEOUT_S = 2.0
LEAVING = b"server-leaving: 1\r\n"
LIMIT = b"server-limit: 0.5\r\n"
CUT_VM = 0
REQUESTS = 60


@pytest.fixture
def fleet(monkeypatch):
    # No instance is in the zone of VM 0, so that it uses both of them.
    fleet = Fleet(vms=3, instances=2, loss=1.0)
    for module in (connection, connect_check):
        monkeypatch.setattr(module, "connect", fleet.connect)
    return fleet


def send(fleet, kind, seconds=3.0, vm=CUT_VM):
    """Let a VM serve reads for some seconds and return the requests."""
    requests = []

    def read(number):
        target = f"/read/{kind}-{number}"
        requests.append(fleet.get(target, vm=fleet.vms[vm]))

    fleet.run(seconds, (seconds * 1_000.0 / REQUESTS, read))
    fleet.run(1.0)
    return requests


def cut(fleet):
    """Cut a VM off and let it notice."""
    fleet.cut(CUT_VM, "reset")
    send(fleet, "noticing")
    assert fleet.vms[CUT_VM].backends.is_cut_off


def heal(fleet):
    fleet.heal(CUT_VM)
    fleet.run(5.0)
    assert not fleet.vms[CUT_VM].backends.is_cut_off


def restart_others(fleet):
    """Restart the other VMs, which then know of no announcement."""
    for number in range(1, len(fleet.vms)):
        fleet.restart(number)


def reached(fleet, server, kind):
    """Return the requests of a kind that reached an instance."""
    prefix = f"/read/{kind}-".encode()
    return [
        arrival
        for arrival in fleet.arrivals
        if arrival.target.startswith(prefix) and arrival.instance == server.instance.id
    ]


def announce(fleet, lines):
    server = fleet.servers[0]
    server.announced = lines
    return server


def is_told(requests, header):
    return any(request.header(header) is not None for request in requests)


def test_an_instance_that_said_it_leaves_by_way_of_another_vm_gets_nothing_after_a_cut(
    fleet,
):
    cut(fleet)
    server = announce(fleet, LEAVING)
    assert is_told(send(fleet, "relayed"), "server-leaving")
    heal(fleet)
    requests = send(fleet, "direct")
    assert {request.status for request in requests} == {200}
    assert not reached(fleet, server, "direct")


def test_an_instance_that_said_it_leaves_before_a_cut_gets_nothing_by_way_of_others(
    fleet,
):
    server = announce(fleet, LEAVING)
    assert is_told(send(fleet, "direct"), "server-leaving")
    cut(fleet)
    restart_others(fleet)
    requests = send(fleet, "relayed")
    assert {request.status for request in requests} == {200}
    assert not reached(fleet, server, "relayed")


def test_the_last_instance_of_a_service_that_leaves_gets_nothing_by_way_of_a_new_vm(
    fleet,
):
    for server in fleet.servers:
        server.announced = LEAVING
    cut(fleet)
    fleet.run(DRAIN_TIMEOUT_S)
    restart_others(fleet)
    requests = send(fleet, "relayed")
    assert {request.status for request in requests} <= {503}
    assert not any(reached(fleet, server, "relayed") for server in fleet.servers)


def test_a_limit_that_came_by_way_of_another_vm_is_known_before_its_answer_is_passed_on(
    fleet,
):
    cut(fleet)
    server = announce(fleet, LIMIT)
    assert is_told(send(fleet, "relayed"), "server-limit")
    rows = fleet.vms[CUT_VM].placement.dump()["bookings"]
    assert rows[server.instance.name]["limit_per_second"] == 0.5


def test_the_instance_of_an_answer_is_named_to_no_caller(fleet):
    cut(fleet)
    announce(fleet, b"galenaferry-relayed-instance: 0123456789abcdef\r\n")
    relayed = send(fleet, "relayed")
    assert {request.status for request in relayed} == {200}
    assert not is_told(relayed, "galenaferry-relayed-instance")


def test_a_leaving_instance_is_named_by_a_vm_that_no_longer_lists_it(fleet):
    server = announce(fleet, LEAVING)
    assert is_told(send(fleet, "told"), "server-leaving")
    cut(fleet)
    fleet.run(DRAIN_TIMEOUT_S)
    restart_others(fleet)
    first = fleet.vms[CUT_VM]
    others = [other for other in fleet.listed if other is not server]
    first.replace_instances(tuple(other.seen_by(CUT_VM) for other in others))
    requests = send(fleet, "late")
    assert {request.status for request in requests} == {200}
    assert reached(fleet, server, "late") == []
