"""Connections over links of limited bandwidth, on a fake clock.

It replaces ``network.stream.connect``. A connection goes to a function that answers one
request, or hangs for as long as the function returns None.
"""

import math
from typing import NamedTuple

from galenaferry.framing.requests import RequestLimits, RequestReader

STEP_MS = 2.0
DELAY_MS = 2.0
NO_LIMITS = RequestLimits(1 << 20, 1 << 30)


class ParsedRequest(NamedTuple):
    """A request as a simulated server sees it."""

    method: str
    target: str
    body: bytes


class Link:
    """Link of one machine, with the same rate in each direction."""

    def __init__(self, bytes_per_ms, queue_bytes=math.inf):
        self.bytes_per_ms = bytes_per_ms
        self.bytes_received = 0
        self.transfers = []
        self.datagrams_dropped = 0
        self._queue_bytes = queue_bytes
        self._datagrams_sent_at = -math.inf

    def queue_datagram(self, size, now):
        """Return when the link has sent a datagram, None if its queue is full."""
        starts_at = max(now, self._datagrams_sent_at)
        if (starts_at - now) * self.bytes_per_ms + size > self._queue_bytes:
            self.datagrams_dropped += 1
            return None
        self._datagrams_sent_at = starts_at + size / self.bytes_per_ms
        return self._datagrams_sent_at


class Connection:
    """Connection of a client; the owner gets what the server sends."""

    def __init__(self, network, sender_link, receiver_link, server, owner):
        self.owner = owner
        self.is_open = True
        self.bytes_sent = 0
        self._network = network
        self.sender_link = sender_link
        self.receiver_link = receiver_link
        self._server = server
        self._pending = b""
        self._reader = RequestReader(self, NO_LIMITS)
        self._head = None
        self._body = b""
        network.loop.after(DELAY_MS, self._on_connected)

    def write(self, data):
        self.bytes_sent += len(data)
        self._network.loop.after(DELAY_MS, lambda: self._reader.feed(data))

    def close(self):
        self.is_open = False
        self._pending = b""

    def pause(self):
        return

    def resume(self):
        return

    def on_head(self, head):
        self._head = head

    def on_body(self, data):
        self._body += data

    def on_complete(self):
        request = ParsedRequest(
            self._head.method.decode(), self._head.target.decode(), self._body
        )
        if self._server is not None:
            self._server(request, self._respond)

    def _on_connected(self):
        if self.is_open:
            self.owner.on_connected()

    def _respond(self, status, body):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        self._pending = head.encode() + body
        self._network.active.append(self)

    @property
    def is_sending(self):
        return self.is_open and bool(self._pending)

    def deliver(self, size):
        part, self._pending = self._pending[:size], self._pending[size:]
        self.receiver_link.bytes_received += len(part)
        self.owner.on_data(part)


class Network:
    """All links, and the servers that answer the requests to an address."""

    def __init__(self, loop, random):
        self.loop = loop
        self.active = []
        self.link_by_host = {}
        self.server_by_address = {}
        self._random = random

    def connect(self, host, server_host, server, owner):
        """Connect the machine ``host`` to a server, which hangs if it is None."""
        return Connection(
            self,
            self.link_by_host[server_host],
            self.link_by_host[host],
            server,
            owner,
        )

    def step(self):
        """Send what the links carry in ``STEP_MS``, in equal parts."""
        self.active = [one for one in self.active if one.is_sending]
        uses_by_link = {}
        for one in self.active:
            for use in ((one.sender_link, "up"), (one.receiver_link, "down")):
                uses_by_link[use] = uses_by_link.get(use, 0) + 1
        for one in self.active:
            up = one.sender_link.bytes_per_ms / uses_by_link[one.sender_link, "up"]
            down = one.receiver_link.bytes_per_ms
            down /= uses_by_link[one.receiver_link, "down"]
            one.deliver(max(1, int(min(up, down) * STEP_MS)))
