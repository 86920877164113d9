"""Builders of a JSON server and of its clients, on one loop and a fake clock."""

import socket

from galenaferry.clock import FakeClock
from galenaferry.network.json_server import JsonResponse, JsonServer, ServerLimits
from galenaferry.network.loop import Loop

LOOPBACK = "127.0.0.1"
LARGE_ANSWER = "x" * 8_000_000
"""More than the kernel takes."""
POLLS = 30
QUIET_READS = 10
"""Reads without data after which no more is expected."""
WIDE_WINDOW = 1_000_000
GET = b"GET /small HTTP/1.1\r\nHost: a\r\n\r\n"
GET_LARGE = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"


class Client:
    """A raw connection; ``answers`` are the status lines that it has received."""

    def __init__(self, bench, data=b"", window=4_096):
        self._bench = bench
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.sock.connect((LOOPBACK, bench.server.port))
        self.sock.setblocking(False)
        self.received = b""
        self.is_closed = False
        if data:
            self.sock.sendall(data)

    def send(self, data):
        self.sock.sendall(data)
        return self

    def read(self, count=65_536):
        """Read what has arrived, at most ``count`` bytes."""
        try:
            data = self.sock.recv(count)
        except BlockingIOError:
            return self
        except OSError:
            data = b""
        self.received += data
        self.is_closed = not data
        return self

    def finish(self):
        """Let the server run and read everything."""
        quiet = 0
        while quiet < QUIET_READS and not self.is_closed:
            before = len(self.received)
            self._bench.poll(4)
            self.read()
            quiet = 0 if len(self.received) > before else quiet + 1
        return self

    @property
    def statuses(self):
        lines = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(line[:3]) for line in lines]


class Bench:
    """JSON server that records its requests."""

    def __init__(self, limits=ServerLimits()):  # noqa: B008
        self.clock = FakeClock(1_000.0)
        self.loop = Loop(self.clock)
        self.requests = []
        self.server = JsonServer(self.loop, (LOOPBACK, 0), self._respond, limits)

    def _respond(self, request):
        self.requests.append(request)
        if request.path == "/broken":
            raise ValueError("broken")
        return JsonResponse(200, LARGE_ANSWER if request.path == "/large" else "small")

    @property
    def counters(self):
        return self.server.connections.counters

    def client(self, data=b"", **parts):
        return Client(self, data, **parts)

    def poll(self, count=POLLS):
        for _ in range(count):
            self.loop.poll(0.5)

    def run_for(self, interval, step=500.0, each=lambda: None):
        """Advance the clock in steps and call ``each`` after every one of them."""
        for _ in range(int(interval / step)):
            self.clock.advance(step)
            self.poll(4)
            each()
