"""Instances that send bytes without end until their connection is closed."""

import pytest

from galenaferry.network.listener import Listener
from galenaferry.network.stream import Stream
from galenaferry.requests.tests.builders import LOOPBACK, Bench, healthy

BLOCK = b"x" * 65_536
TIMEOUTS = """
[defaults]
total_timeout_ms = 2000
attempt_timeout_ms = 1000
idle_timeout_ms = 1000
"""


class EndlessInstance:
    """Instance that responds with ``start`` and then with ``BLOCK`` for ever."""

    def __init__(self, loop, start):
        self._loop = loop
        self._start = start
        self.listener = Listener(loop, (LOOPBACK, 0), self._accept)
        self.open_count = 0

    def _accept(self, sock):
        self.open_count += 1
        EndlessConnection(self._loop, sock, self, self._start)

    def on_closed(self):
        self.open_count -= 1


class EndlessConnection:
    def __init__(self, loop, sock, instance, start):
        self._instance = instance
        self._start = start
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def on_connected(self):
        return

    def on_data(self, data):
        if self._start is not None:
            start, self._start = self._start, None
            self._stream.write(start)
            self.on_drained()

    def on_drained(self):
        if not self._stream.is_congested:
            self._stream.write(BLOCK)

    def on_ended(self, reason):
        self._stream.close()
        self._instance.on_closed()


def bench_with_endless_instance(start):
    """Return a bench with an endless instance in place of its first one."""
    bench = Bench(TIMEOUTS, modes=[healthy(), healthy()], zones=["north", "north"])
    endless = EndlessInstance(bench.loop, start)
    address = f"{LOOPBACK}:{endless.listener.port}"
    bench.directory.replace_instances([bench.instances[0]._replace(address=address)])
    return bench, endless


@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nname: ",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nname: ",
        b"HTTP/1.1 503 Busy\r\n\r\n",
    ],
)
def test_an_endless_response_ends_the_request_and_its_connection(start):
    bench, endless = bench_with_endless_instance(start)
    caller = bench.caller().post("/bookings/one")
    bench.run(lambda: bench.component.in_flight == 0 and caller.received, caller)
    bench.run(lambda: endless.open_count == 0, caller)
    assert len(caller.received) < 1 << 30


def test_other_requests_are_served_beside_an_endless_response():
    bench, endless = bench_with_endless_instance(b"HTTP/1.1 200 OK\r\n\r\n")
    hanging = bench.caller().get("/bookings/one")
    bench.run(lambda: endless.open_count == 1, hanging)
    bench.directory.replace_instances([bench.instances[1]])
    other = bench.caller().post("/bookings/two")
    assert [status for status, _, _ in other.answers()] == [200]
