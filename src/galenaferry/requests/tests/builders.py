"""Builders of a request path with backend stand-ins, on one loop and a fake clock."""

import socket
from random import Random

from circuits import Component

from galenaferry.backends.directory import InstanceDirectory, ServiceHealth
from galenaferry.backends.messages import Instance
from galenaferry.clock import FakeClock
from galenaferry.configuration.compact import Configuration
from galenaferry.configuration.document import parse_sections
from galenaferry.framing.limits import CallerLimits
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream
from galenaferry.requests.component import RequestsComponent
from galenaferry.requests.context import RequestContext
from galenaferry.routing.hosts import HostRouteTable
from galenaferry.routing.table import RouteTable
from galenaferry.routing.tests.builders import document, host_route
from galenaferry.stand_ins.backend import BackendStandIn
from galenaferry.stand_ins.backend_state import BackendMode

LOOPBACK = "127.0.0.1"
STEP_MS = 1.0
LONGEST_RUN_MS = 120_000.0
QUIET_POLLS = 3
"""Polls without a ready socket after which the fake clock advances."""


class EqualWeights:
    """Health that gives every instance its full weight."""

    def service_health(self, service, instances, policy):
        return ServiceHealth({i.address: 1.0 for i in instances}, frozenset())


class RecordingObserver:
    """Observer that records the evidence."""

    def __init__(self):
        self.evidence = []

    def observe(self, service, address, route, target, evidence, latency):
        self.evidence.append((address, evidence))


class Caller:
    """A raw connection of a caller."""

    def __init__(self, bench):
        self._bench = bench
        self._sock = socket.create_connection((LOOPBACK, bench.component.port))
        self._sock.setblocking(False)
        self.received = b""
        self.is_closed = False

    def send(self, data):
        self._sock.sendall(data)
        return self

    def post(self, path, body=b"slot", headers=""):
        head = f"POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
        return self.send(head.encode() + body)

    def get(self, path, headers=""):
        return self.send(f"GET {path} HTTP/1.1\r\nHost: a\r\n{headers}\r\n".encode())

    def close(self):
        self._sock.close()

    def read(self):
        try:
            while data := self._sock.recv(65536):
                self.received += data
            self.is_closed = True
        except BlockingIOError:
            return
        except OSError:
            self.is_closed = True

    def answers(self, count=1):
        """Run until ``count`` complete answers have arrived, and return them."""
        self._bench.run(
            lambda: len(parse_answers(self.received)) >= count or self.is_closed, self
        )
        return parse_answers(self.received)


def parse_answers(data):
    """Return (status, headers, body) of every complete answer with a length."""
    answers = []
    while b"\r\n\r\n" in data:
        head, _, rest = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines[1:])
        status = int(lines[0].split()[1])
        length = int(headers.get("content-length", 0))
        if len(rest) < length or status == 100:
            if status != 100:
                break
            length = 0
        answers.append((status, headers, rest[:length]))
        data = rest[length:]
    return answers


class Bench:
    """Request path of one VM with backend stand-ins and callers."""

    def __init__(self, text="", modes=(), zones=None, seed=1, **parts):
        self.clock = FakeClock(1000.0)
        self.root = Component()
        self.loop = Loop(self.clock)
        self.loop.register(self.root)
        self.backends = [
            BackendStandIn((LOOPBACK, 0), mode, seed=number, loop=self.loop)
            for number, mode in enumerate(modes)
        ]
        zones = zones or ["north"] + ["south"] * len(modes)
        self.instances = [
            Instance(
                f"{LOOPBACK}:{backend.listener.port}", "bookings", zones[number], False
            )
            for number, backend in enumerate(self.backends)
        ]
        configuration = Configuration(parse_sections("bench.ini", text).unwrap())
        self.observer = RecordingObserver()
        self.directory = InstanceDirectory(
            self.loop, "north", EqualWeights(), Random(seed)
        )
        self.directory.replace_instances(self.instances)
        self.context = RequestContext(
            self.loop,
            self.directory,
            RouteTable(configuration, "north"),
            self.observer,
            Random(seed),
            **parts,
        )
        self.component = RequestsComponent(self.context, (LOOPBACK, 0))

    def run(self, is_done, *callers):
        """Advance the fake clock until ``is_done`` returns True."""
        ends_at = self.clock.now() + LONGEST_RUN_MS
        quiet = 0
        while self.clock.now() < ends_at:
            ready = self.loop.poll(0.0)
            for caller in callers:
                caller.read()
            if is_done():
                return
            quiet = 0 if ready else quiet + 1
            if quiet >= QUIET_POLLS:
                self.clock.advance(STEP_MS)
                quiet = 0
        raise AssertionError("the condition was not met in time")

    def run_for(self, interval, *callers):
        """Advance the fake clock by ``interval`` milliseconds."""
        ends_at = self.clock.now() + interval
        self.run(lambda: self.clock.now() >= ends_at, *callers)

    def caller(self):
        return Caller(self)

    def executions(self):
        return sum(backend.state.counters.executed for backend in self.backends)


def healthy():
    return BackendMode(work_ms=5.0)


def faulty(**parts):
    return BackendMode(work_ms=5.0, **parts)


def make_unconfigured_bench(mode=None, is_current=lambda: True, **parts):
    """Return a bench whose VM has no configuration yet, and its routes."""
    bench = Bench(modes=[mode or healthy()], **parts)
    routes = HostRouteTable(20, Random(1), is_current)
    bench.context.routes = routes
    bench.context.limits = lambda: routes.limits
    return bench, routes


def apply_limits(routes, version, total_timeout=4000.0, **limits):
    """Apply a configuration with a route to the bookings and the given limits."""
    row = host_route("bookings", b"/bookings/", host=b"a", total_timeout=total_timeout)
    routes.replace_if_newer(
        document(version, row)._replace(limits=CallerLimits(**limits))
    )


class EarlyConnection:
    """Connection of an instance that answers a request when it has its head."""

    def __init__(self, loop, sock):
        self._reader = RequestReader(self, RequestLimits(65_536, 1 << 30))
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def on_head(self, head):
        self._stream.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    def on_body(self, data):
        return

    def on_complete(self):
        return

    def on_data(self, data):
        self._reader.feed(data)

    def on_drained(self):
        return

    def on_ended(self, reason):
        self._stream.close()


def use_early_instance(bench):
    """Replace the instances of a bench by one that answers before it has a body."""
    listener = Listener(
        bench.loop, (LOOPBACK, 0), lambda sock: EarlyConnection(bench.loop, sock)
    )
    address = f"{LOOPBACK}:{listener.port}"
    bench.directory.replace_instances([Instance(address, "bookings", "north", False)])
