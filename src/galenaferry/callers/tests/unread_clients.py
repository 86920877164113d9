"""Builders of clients that send to any listener of a daemon and read nothing."""

import socket
import time
import tomllib
from contextlib import contextmanager
from typing import NamedTuple

from galenaferry.callers.tests.daemon import (
    LOOPBACK,
    SETTLED_S,
    STEP_MS,
    Daemon,
    request,
    usual_headers,
)

MEMORY_MB = 64
AMPLE_MEMORY_MB = 300
DESCRIPTORS = 400
BYTES_PER_MB = 1_000_000
READINESS = request("/ready")
PART = b"x" * 65_536

RECEIVE_BUFFER_BYTES = 4_096
"""The kernel takes little of the answers, as behind a link with small windows."""
LONGEST_FLOOD_S = 60.0
CONNECTS_AT_ONCE = 50


class Crowd(NamedTuple):
    """Clients that all send the same pieces, each once the one before was taken.

    One of them sends ``first`` and then ``count`` times ``piece``. ``address`` is where
    they connect to. They have sent all that they can after ``settled_s`` seconds in
    which nobody took anything.
    """

    connections: int
    piece: bytes
    count: int = 1
    first: bytes = b""
    address: tuple[str, int] = (LOOPBACK, 0)
    settled_s: float = SETTLED_S


class Addresses(NamedTuple):
    """Addresses that a daemon listens on for TCP connections."""

    callers: tuple[str, int]
    readiness: tuple[str, int]
    peers: tuple[str, int]
    relay: tuple[str, int]


class UnreadClient:
    """Raw connection that sends pieces and never reads."""

    def __init__(self, crowd):
        self._crowd = crowd
        self._unsent = crowd.first or crowd.piece
        self._left = crowd.count if crowd.first else crowd.count - 1
        self.is_done = False
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)
        self.sock.connect_ex(crowd.address)

    def send(self):
        """Send what the kernel takes of one piece; return the number of bytes."""
        if self.is_done:
            return 0
        try:
            sent = self.sock.send(self._unsent)
        except BlockingIOError:
            return 0
        except OSError:
            self.is_done = True
            return 0
        self._unsent = self._unsent[sent:]
        if not self._unsent and self._left:
            self._left -= 1
            self._unsent = self._crowd.piece
        self.is_done = not self._unsent
        return sent


def read_addresses(folder):
    """Return the addresses in the node file of the daemon in ``folder``."""
    data = tomllib.loads((folder / "node.toml").read_text())
    listen, (peers, relay) = data["listen"], data["internalPortRange"]
    return Addresses(
        *(
            (LOOPBACK, int(listen[name].rpartition(":")[2]))
            for name in ("front", "ready")
        ),
        (LOOPBACK, peers),
        (LOOPBACK, relay),
    )


@contextmanager
def start_daemon(folder, memory_mb, descriptors):
    """Yield a daemon that is ready and its addresses."""
    with Daemon(folder, memory_mb, descriptors) as daemon:
        daemon.wait_until_ready()
        yield daemon, read_addresses(folder)


@contextmanager
def press(daemon, crowd):
    """Let a crowd send until it is done or can send no more; close it at the end."""
    clients = []
    try:
        for number in range(crowd.connections):
            clients.append(UnreadClient(crowd))
            if number % CONNECTS_AT_ONCE == 0:
                daemon.loop.poll(STEP_MS)
        _flood(daemon, clients, crowd.settled_s)
        yield
    finally:
        for client in clients:
            client.sock.close()


def answer_status(daemon, address, data):
    """Return the status of the answer to one request at an address, 0 without one."""
    callers, daemon.address = daemon.address, address
    try:
        return daemon.answer_status(data)
    finally:
        daemon.address = callers


def _flood(daemon, clients, settled_s):
    ends_at = time.monotonic() + LONGEST_FLOOD_S
    progress_at = time.monotonic()
    while time.monotonic() < min(ends_at, progress_at + settled_s):
        if sum(client.send() for client in clients):
            progress_at = time.monotonic()
            daemon.loop.poll(0.0)
        else:
            daemon.loop.poll(STEP_MS)
        if not daemon.is_alive:
            return


def assert_within_limits(daemon, memory_mb=MEMORY_MB):
    assert daemon.is_alive, daemon.log_file.read_text()[-2_000:]
    assert daemon.peak_memory_bytes < memory_mb * BYTES_PER_MB
    assert daemon.descriptor_count < DESCRIPTORS


def assert_serves(daemon, addresses, memory_mb=MEMORY_MB):
    ordinary = request("/small", headers=usual_headers("ordinary"))
    statuses = {
        "ordinary": answer_status(daemon, addresses.callers, ordinary),
        "readiness": answer_status(daemon, addresses.readiness, READINESS),
    }
    assert statuses == {"ordinary": 200, "readiness": 200}, statuses
    assert_within_limits(daemon, memory_mb)


def flood(folder, listener, crowd, memory_mb=MEMORY_MB):
    """Let a crowd send to a listener of a new daemon, and check the daemon's limits.

    ``crowd`` has no address yet.
    """
    with start_daemon(folder, memory_mb, DESCRIPTORS) as (daemon, addresses):
        with press(daemon, crowd._replace(address=getattr(addresses, listener))):
            assert_within_limits(daemon, memory_mb)
            assert_serves(daemon, addresses, memory_mb)
        assert_serves(daemon, addresses, memory_mb)
