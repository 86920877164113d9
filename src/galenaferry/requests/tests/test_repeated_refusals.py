"""Instances that write an earlier refusal once more on a kept connection."""

import pytest

from galenaferry.backends import connection
from galenaferry.backends.messages import CapacityShare, Instance
from galenaferry.backends.pool import InstancePool
from galenaferry.clock import FakeClock
from galenaferry.network import connect_check
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream
from galenaferry.tests.fleet import Fleet
from galenaferry.tests.rejections import no_proper_request_is_rejected  # noqa: F401
from galenaferry.tests.repeating_instances import Copy, When, repeat_refusals

NOT_RUN_STATUSES = (408, 421, 429, 503)


def play(fleet, vms=None, is_restarting=False):
    """Send bookings and lookups to the fleet; return all requests."""
    fleet.copies_written = 0
    requests = []

    def send(_):
        number = len(requests)
        vm = fleet.vms[number % (vms or len(fleet.vms))]
        method = fleet.post if number % 3 else fleet.get
        target = f"/{'book' if number % 3 else 'read'}/{number}"
        arguments = (b"x", number % 200, vm) if number % 3 else (number % 200, vm)
        requests.append(method(target, *arguments))

    for _ in range(3):
        fleet.run(2.0, (8.0, send))
        if is_restarting:
            fleet.vms[1].context.is_stopping = True
            fleet.restart(1)
    fleet.run(8.0)
    return requests


def runs_of(fleet, request):
    return len(fleet.arrivals_of(request.target.encode()))


def check(fleet, requests):
    assert fleet.copies_written > 20
    refused = [r for r in requests if r.status in NOT_RUN_STATUSES]
    assert [r.target for r in refused if runs_of(fleet, r)] == []
    bookings = [r for r in requests if r.target.startswith("/book/")]
    assert [r.target for r in bookings if runs_of(fleet, r) > 1] == []
    # Each answer belongs to its request.
    served = [r for r in requests if r.status == 200]
    assert all(r.received.endswith(b"done " + r.target.encode()) for r in served)
    assert len(served) > 0.3 * len(requests)


@pytest.mark.parametrize("copy", Copy)
@pytest.mark.parametrize("when", When)
@pytest.mark.parametrize("age", [1, 2, 3])
def test_a_repeated_refusal_answers_no_request(monkeypatch, copy, when, age):
    repeat_refusals(monkeypatch, copy, when, age)
    fleet = Fleet(vms=3, instances=3, seed=age)
    check(fleet, play(fleet))


@pytest.mark.parametrize("copy", Copy)
@pytest.mark.parametrize("when", When)
def test_a_repeated_refusal_answers_no_request_by_way_of_another_vm(
    monkeypatch, copy, when
):
    repeat_refusals(monkeypatch, copy, when)
    fleet = Fleet(vms=4, instances=3)
    for module in (connection, connect_check):
        monkeypatch.setattr(module, "connect", fleet.connect)
    fleet.copies_written = 0
    fleet.cut(0, "reset")
    fleet.run(2.0, (50.0, lambda number: fleet.get("/read/n", vm=fleet.vms[0])))
    assert fleet.vms[0].backends.is_cut_off
    check(fleet, play(fleet, vms=2))


@pytest.mark.parametrize("copy", Copy)
@pytest.mark.parametrize("when", When)
def test_a_repeated_refusal_answers_no_request_beside_graceful_shutdowns(
    monkeypatch, copy, when
):
    repeat_refusals(monkeypatch, copy, when)
    fleet = Fleet(vms=3, instances=3)
    check(fleet, play(fleet, is_restarting=True))


SHARE = CapacityShare(connections=4, slots=6)


class RefusingConnection:
    """Connection of an instance that refuses each request."""

    def __init__(self, loop, sock):
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def on_data(self, data):
        self._stream.write(b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n")

    def on_drained(self):
        return

    def on_ended(self, reason):
        self._stream.close()


class Owner:
    """Attempt that only waits for the end of the response."""

    def __init__(self):
        self.is_complete = False

    def on_backend_head(self, head):
        return

    def on_backend_body(self, data):
        return

    def on_backend_complete(self):
        self.is_complete = True


class PoolBench:
    def __init__(self):
        self.loop = Loop(FakeClock(1000.0))
        self.listener = Listener(
            self.loop,
            ("127.0.0.1", 0),
            lambda sock: RefusingConnection(self.loop, sock),
        )
        address = f"127.0.0.1:{self.listener.port}"
        self.pool = InstancePool(
            self.loop, Instance(address, "bookings", "north", False), lambda: None
        )

    def refuse(self, request_id):
        """Send a request that is refused; return the connection, which is kept."""
        kept = self.pool.acquire(True, SHARE, request_id)
        while not kept.is_connected:
            self.loop.poll(0.0)
        owner = Owner()
        kept.attach(owner, False, lambda head: False)
        kept.write(b"GET / HTTP/1.1\r\n\r\n")
        while not owner.is_complete:
            self.loop.poll(0.0)
        if kept.is_reusable:
            kept.detach()
            self.pool.release(kept)
        else:
            self.pool.discard(kept)
        return kept


def test_a_request_does_not_return_to_a_connection_on_which_it_was_refused():
    bench = PoolBench()
    first = bench.refuse(b"r1")
    for number in range(20):
        assert bench.refuse(b"other %d" % number) is first
    assert bench.refuse(b"r1") is not first


def test_a_connection_with_many_refusals_is_not_kept():
    bench = PoolBench()
    first = bench.refuse(b"r0")
    connections = {first}
    for number in range(1, 1_000):
        connections.add(bench.refuse(b"r%d" % number))
    assert len(connections) > 1
    assert bench.refuse(b"r0") is not first
