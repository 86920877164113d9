"""Builders of a real daemon with a store, instances and a crowd, on loopback."""

import os
import re
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import galenaferry
from galenaferry.framing.requests import RequestLimits, RequestReader
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.network.stream import Stream, connect
from galenaferry.platform.documents import (
    CONFIGURATION_KEY,
    CONFIGURATION_TABLE,
    INSTANCES_TABLE,
)
from galenaferry.platform.tests import fake_store_server
from galenaferry.platform.tests.builders import configuration_json, entry_json
from galenaferry.platform.tests.fake_store_server import FakeStoreServer

LOOPBACK = "127.0.0.1"
SOURCES = Path(galenaferry.__file__).parents[1]
SMALL_ANSWER = b"ok"
LARGE_ANSWER = bytes(200_000)
WORK_MS = 20.0
"""Time that an instance takes for a request."""
STEP_MS = 20.0
START_S = 20.0
"""Longest time for the daemon to become ready."""
SETTLED_S = 2.0
"""Time without bytes from the crowd after which the flood counts as over."""
LONGEST_FLOOD_S = 20.0
ANSWER_S = 10.0
FIRST_PORT = 21_000
PORT_BLOCKS = 2_000

NODE_FILE = """
nodeName = "front-a-1"
ip = "127.0.0.1"
zone = "a"
region = "r"
internalPortRange = [{peers}, {relay}]
seedNodes = ["127.0.0.1:{peers}"]
bootstrap = true
bounds = [
  "drainTimeoutMs=2000", "gracePeriodS=6", "floorShare=0.7",
  "retryBudgetRatio=0.2", "retryBudgetSlack=58", "budgetWindowS=10",
]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[platform]
address = "127.0.0.1:{store}"
[limits]
linkMbps = 100.0
memoryMb = {memory_mb}
fileDescriptors = {descriptors}
"""

CONFIGURATION = configuration_json(
    routes=[
        {
            "name": "plain",
            "host": "a.example",
            "prefix": "/",
            "kind": "idempotent",
            "timeoutMs": 4000,
            "targetLatencyMs": 2000,
            "service": "s",
            "maxAttempts": 2,
        }
    ],
    services=[{"name": "s", "healthCheckPath": "/health", "maxConnections": 2000}],
)


def request(path, size=0, headers=""):
    """Return an encoded request with a body of ``size`` bytes."""
    method = "POST" if size else "GET"
    length = f"Content-Length: {size}\r\n" if size else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: a.example\r\n{headers}{length}\r\n"
    return head.encode() + bytes(size)


def usual_headers(request_id):
    """Return the headers that a client of the platform sends."""
    return (
        f"Galenaferry-Request-Id: {request_id}\r\n"
        "Galenaferry-Request-Deadline-Ms: 4000\r\n"
    )


class _StoreConnection(fake_store_server._Connection):
    """Connection of a store that holds a feed as long as it is asked to wait."""

    def on_complete(self):
        query = parse_qs(urlsplit(self._head.target.decode()).query)
        wait = float(query.get("waitMs", ["0"])[0])
        self._store.loop.after(wait, super().on_complete)


class _Store(FakeStoreServer):
    def _accept(self, sock):
        _StoreConnection(self, sock)


class _InstanceConnection:
    """Connection of a signed instance that echoes request ids."""

    def __init__(self, loop, sock):
        self._loop = loop
        self._head = None
        self._reader = RequestReader(self, RequestLimits(262_144, 1 << 40))
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def on_head(self, head):
        self._head = head

    def on_body(self, data):
        return

    def on_complete(self):
        head = self._head
        self._loop.after(WORK_MS, lambda: self._answer(head))

    def _answer(self, head):
        body = LARGE_ANSWER if head.target.startswith(b"/large") else SMALL_ANSWER
        request_id = head.header(b"galenaferry-request-id") or b""
        self._stream.write(
            b"HTTP/1.1 200 OK\r\nGalenaferry-Response-Signature: s\r\n"
            b"Galenaferry-Request-Id: %b\r\nContent-Length: %d\r\n\r\n"
            % (request_id, len(body))
        )
        self._stream.write(body)

    def on_data(self, data):
        self._reader.feed(data)

    def on_drained(self):
        return

    def on_ended(self, reason):
        self._stream.close()


class EndlessConnection:
    """Connection of an instance that leaves requests unanswered.

    Its answer to a health check, ``first`` and then ``part`` again and again, ends when
    the client closes. ``checks`` counts them.
    """

    checks = 0

    def __init__(self, loop, sock, first, part):
        self._first = first
        self._part = part
        self._is_answering = False
        self._stream = Stream(loop, sock, self, is_connecting=False)

    def on_data(self, data):
        if data.startswith(b"GET /health ") and not self._is_answering:
            EndlessConnection.checks += 1
            self._is_answering = True
            self._stream.write(self._first)
            self.on_drained()

    def on_drained(self):
        while self._is_answering and not self._stream.has_unsent:
            if not self._stream.is_open:
                return
            self._stream.write(self._part)

    def on_ended(self, reason):
        self._is_answering = False
        self._stream.close()


class CrowdConnection:
    """Client that sends requests and reads nothing, unless it is told to."""

    def __init__(self, loop, address, requests, is_reading=False):
        self.received = b""
        self.is_closed = False
        self._is_reading = is_reading
        self._requests = requests
        self.stream = connect(loop, address, self)

    def on_connected(self):
        if not self._is_reading:
            self.stream.pause()
        for data in self._requests:
            self.stream.write(data)

    def on_data(self, data):
        self.received += data

    def on_drained(self):
        return

    def on_ended(self, reason):
        self.is_closed = True
        if self.stream.is_open:
            self.stream.close()


class Daemon:
    """Process of the daemon, with a store and instances in this process."""

    def __init__(self, folder, memory_mb, descriptors, instances=4):
        self.loop = Loop()
        self.instance_connection = _InstanceConnection
        self._store = _Store(self.loop)
        self._listeners = [
            Listener(
                self.loop,
                (LOOPBACK, 0),
                lambda sock: self.instance_connection(self.loop, sock),
            )
            for _ in range(instances)
        ]
        self._store.put(CONFIGURATION_TABLE, CONFIGURATION_KEY, CONFIGURATION)
        for number, listener in enumerate(self._listeners):
            info = {"service": "s", "version": "v1", "zone": "a", "slots": 400}
            status = {"state": "ready", "sequence": 4, "coldRemainingMs": 0}
            entry = entry_json(
                address=f"{LOOPBACK}:{listener.port}", info=info, status=status
            )
            self._store.put(INSTANCES_TABLE, f"i-{number}", entry)
        peers, relay, front, ready = find_free_ports(4)
        self.address = (LOOPBACK, front)
        self._readiness = (LOOPBACK, ready)
        node_file = folder / "node.toml"
        node_file.write_text(
            NODE_FILE.format(
                front=front,
                ready=ready,
                peers=peers,
                relay=relay,
                store=self._store.address[1],
                memory_mb=memory_mb,
                descriptors=descriptors,
            )
        )
        environment = os.environ | {
            "GALENAFERRY_NODE_FILE": str(node_file),
            "GALENAFERRY_PEER_KEY": "key of the test fleet",
            "PYTHONPATH": str(SOURCES),
        }
        self.log_file = folder / "daemon.log"
        with self.log_file.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "galenaferry.platform"],
                env=environment,
                stdout=log,
                stderr=log,
            )

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.process.kill()
        self.process.wait()

    def run(self, is_done, longest_s):
        """Serve the stand-ins until ``is_done`` returns True; return whether it did."""
        ends_at = time.monotonic() + longest_s
        while time.monotonic() < ends_at:
            self.loop.poll(STEP_MS)
            if is_done():
                return True
        return False

    def restore_instances(self):
        """Let new connections to instances be answered again."""
        self.instance_connection = _InstanceConnection

    def is_served_again(self, data):
        """Return whether an ordinary request gets 200, after refusals if need be."""
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            if self.answer_status(data) == 200:
                return True
            self.run(lambda: False, 0.5)
        return False

    def wait_until_ready(self):
        ready = request("/ready")
        ends_at = time.monotonic() + START_S
        while time.monotonic() < ends_at:
            probe = CrowdConnection(self.loop, self._readiness, [ready], True)
            self.run(lambda: probe.received or probe.is_closed, 2.0)  # noqa: B023
            probe.stream.close()
            if probe.received.startswith(b"HTTP/1.1 200"):
                return
        raise AssertionError(self.log_file.read_text())

    def connect(self, count, requests):
        """Return ``count`` clients that send the same requests."""
        return [
            CrowdConnection(self.loop, self.address, requests) for _ in range(count)
        ]

    def settle(self, crowd):
        """Serve until the crowd can send no more."""
        progress = [0, time.monotonic()]

        def is_settled():
            sent = sum(connection.stream.bytes_sent for connection in crowd)
            if sent != progress[0]:
                progress[:] = sent, time.monotonic()
            return time.monotonic() - progress[1] > SETTLED_S

        self.run(is_settled, LONGEST_FLOOD_S)

    def answer_status(self, data):
        """Return the status of the answer to one ordinary request, 0 without one."""
        client = CrowdConnection(self.loop, self.address, [data], True)
        self.run(lambda: b"\r\n\r\n" in client.received or client.is_closed, ANSWER_S)
        client.stream.close()
        status = re.match(rb"HTTP/1.1 (\d+)", client.received)
        return int(status[1]) if status else 0

    @property
    def is_alive(self):
        return self.process.poll() is None

    @property
    def peak_memory_bytes(self):
        """Largest resident memory of the process until now."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024

    @property
    def descriptor_count(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def find_free_ports(count):
    """Return consecutive ports that are free now, below those of outgoing sockets."""
    first = FIRST_PORT + os.getpid() % PORT_BLOCKS * count
    while True:
        ports = range(first, first + count)
        if all(is_free(port) for port in ports):
            return ports
        first += count


def is_free(port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
