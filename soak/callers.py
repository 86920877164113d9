"""Callers of the soak: they keep connections open and check every answer."""

from collections import Counter
from random import Random

from galenaferry.network.loop import Loop

from .exchange import Outgoing
from .instances import Ledger, body_of

PROMISES = frozenset((408, 421, 429, 503))
IDLE_KEPT = 4


class Callers:
    """Requests at a steady rate through all VMs; findings go to the ledger."""

    def __init__(
        self, loop: Loop, addresses: list[tuple[str, int]], ledger: Ledger, seed: int
    ) -> None:
        self._loop = loop
        self._addresses = addresses
        self._ledger = ledger
        self._random = Random(seed)
        self._idle: dict[tuple[str, int], list[Outgoing]] = {a: [] for a in addresses}
        self._request_by_connection: dict[Outgoing, str] = {}
        self._number = 0
        self.bookings: set[str] = set()
        self.promised: set[str] = set()
        self.outcomes: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Number of requests without an end."""
        return len(self._request_by_connection)

    def send_one(self) -> None:
        """Send a query or a booking on a kept or a new connection."""
        self._number += 1
        is_booking = self._random.random() < 0.6
        request = f"{'b' if is_booking else 'q'}{self._number}"
        address = self._random.choice(self._addresses)
        idle = [c for c in self._idle[address] if c.is_open and not c.is_busy]
        self._idle[address] = idle[-IDLE_KEPT:]
        connection = idle.pop() if idle else Outgoing(self._loop, address, self._on_end)
        if connection in self._idle[address]:
            self._idle[address].remove(connection)
        self._request_by_connection[connection] = request
        now = self._loop.clock.now()
        self._ledger.timing.on_sent(request, address, now)
        method, prefix = ("POST", "/book/") if is_booking else ("GET", "/query/")
        if is_booking:
            self.bookings.add(request)
        connection.send(
            f"{method} {prefix}{request} HTTP/1.1\r\nHost: soak.example\r\n"
            f"Galenaferry-Request-Id: {request}\r\nContent-Length: 0\r\n"
            "Galenaferry-Request-Deadline-Ms: 3000\r\n\r\n".encode()
        )

    def check_ledger(self) -> None:
        """Check what the instances ran against what callers were told."""
        for request in sorted(self.bookings):
            runs = self._ledger.runs_by_request[request]
            if runs > 1:
                self._ledger.findings.append(f"{request} ran {runs} times")
            if runs and request in self.promised:
                self._ledger.findings.append(f"{request} ran and was said not to have")

    def _on_end(self, connection: Outgoing, reason: str) -> None:
        request = self._request_by_connection.pop(connection, "")
        if not request:
            self._ledger.findings.append(f"{reason} on an idle connection")
            return
        if reason:
            self.outcomes["closed"] += 1
            if connection.is_connected:
                self._ledger.timing.on_cut(request, self._loop.clock.now())
            return
        head = connection.head
        assert head is not None
        self.outcomes[str(head.status)] += 1
        self._check(request, connection)
        if head.header(b"connection") == b"close":
            return
        for idle in self._idle.values():
            if connection in idle:
                return
        self._idle[connection.address].append(connection)

    def _check(self, request: str, connection: Outgoing) -> None:
        head = connection.head
        assert head is not None
        find = self._ledger.findings.append
        if head.status in PROMISES:
            self.promised.add(request)
        if head.header(b"galenaferry-request-id") != request.encode():
            find(f"{request} got an answer to another request")
        if head.status == 200 and connection.body != body_of(request):
            find(f"{request} got a success with another body")
        if head.status == 404:
            find(f"{request} was denied")
