"""Connections on which a second copy of a response can arrive late."""

from galenaferry.backends.messages import CapacityShare, Instance
from galenaferry.backends.pool import InstancePool
from galenaferry.clock import FakeClock
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop

SHARE = CapacityShare(connections=4, slots=6)


class PoolBench:
    def __init__(self):
        self.loop = Loop(FakeClock(1000.0))
        self.sockets = []
        self.listener = Listener(self.loop, ("127.0.0.1", 0), self.sockets.append)
        address = f"127.0.0.1:{self.listener.port}"
        self.pool = InstancePool(
            self.loop, Instance(address, "bookings", "north", False), lambda: None
        )

    def acquire(self, request_id):
        connection = self.pool.acquire(True, SHARE, request_id)
        while not connection.is_connected:
            self.loop.poll(0.0)
        return connection


def test_a_request_sent_again_gets_another_connection():
    # A copy of the rejection of its first attempt would pass for the second's.
    bench = PoolBench()
    first = bench.acquire(b"r1")
    bench.pool.release(first)
    assert bench.acquire(b"r1") is not first
    assert not first.is_open


def test_another_request_reuses_the_connection():
    bench = PoolBench()
    first = bench.acquire(b"r1")
    bench.pool.release(first)
    assert bench.acquire(b"r2") is first
