"""Callers of the soak: they reuse connections and check every response."""

from collections import Counter
from random import Random

from galenaferry.clock import Millis
from galenaferry.network.loop import Loop

from .connections import ClientConnection
from .instances import SLOW_PREFIX, ExecutionRecord, expected_body
from .timing import APPLY_MS

NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request was not executed."""
TRUE_REFUSALS = NOT_EXECUTED_STATUSES - {503}
"""Statuses below 500 with which a VM may answer a proper request. Instances send none
that is passed on."""
NEW_ROUTE_SHARE = 0.2
"""Share of the queries that go to the newest route that all VMs must know."""
MAX_IDLE_PER_VM = 4
"""Idle connections to one VM that are kept for later requests."""


class Callers:
    """Send queries and bookings to random VMs and check the responses.

    Violations are appended to the findings of the record.
    """

    def __init__(
        self,
        loop: Loop,
        addresses: list[tuple[str, int]],
        record: ExecutionRecord,
        seed: int,
    ) -> None:
        self._loop = loop
        self.addresses = addresses
        self._record = record
        self._random = Random(seed)
        self._idle_by_address: dict[tuple[str, int], list[ClientConnection]] = {
            a: [] for a in addresses
        }
        self._request_by_connection: dict[ClientConnection, str] = {}
        self._request_count = 0
        self.bookings: set[str] = set()
        self.reported_not_run: set[str] = set()
        self.outcomes: Counter[str] = Counter()
        self.on_ended = lambda request, address, outcome: None

    @property
    def pending_count(self) -> int:
        """Number of requests that wait for a response on an open connection."""
        return len(self._request_by_connection)

    def send_request(self) -> None:
        """Send a random query or booking on an idle or a new connection.

        Its id starts with ``q`` or ``b``.
        """
        self._request_count += 1
        is_booking = self._random.random() < 0.6
        request = f"{'b' if is_booking else 'q'}{self._request_count}"
        address = self._random.choice(self.addresses)
        idle = [
            c for c in self._idle_by_address[address] if c.is_open and not c.is_busy
        ]
        self._idle_by_address[address] = idle[-MAX_IDLE_PER_VM:]
        connection = (
            idle.pop()
            if idle
            else ClientConnection(self._loop, address, self._on_outcome)
        )
        if connection in self._idle_by_address[address]:
            self._idle_by_address[address].remove(connection)
        self._request_by_connection[connection] = request
        now = self._loop.clock.now()
        self._record.timing.on_request_sent(request, address, now)
        method, prefix = "GET", self._choose_query_prefix(now)
        if is_booking:
            method, prefix = "POST", "/book/"
            self.bookings.add(request)
        _send(connection, method, f"{prefix}{request}", request)

    def _choose_query_prefix(self, now: Millis) -> str:
        routes = self._record.new_routes
        known = [prefix for at, prefix in routes if at <= now - APPLY_MS]
        is_new = self._random.random() < NEW_ROUTE_SHARE
        return known[-1] if known and is_new else "/query/"

    def begin_booking(self, request: str, address: tuple[str, int]) -> ClientConnection:
        """Return a new connection on which the caller sends a booking of its own."""
        connection = ClientConnection(self._loop, address, self._on_outcome)
        self._request_by_connection[connection] = request
        self.bookings.add(request)
        now = self._loop.clock.now()
        self._record.timing.on_request_sent(request, address, now)
        return connection

    def send_slow_request(self) -> None:
        """Send a request that takes long to a random VM, on a connection of its own."""
        self._request_count += 1
        kind = self._random.choice("bq")
        request = f"{kind}{self._request_count}"
        address = self._random.choice(self.addresses)
        connection = ClientConnection(self._loop, address, self._on_outcome)
        self._request_by_connection[connection] = request
        now = self._loop.clock.now()
        self._record.timing.on_request_sent(request, address, now)
        method = "POST" if kind == "b" else "GET"
        target = f"{SLOW_PREFIX}{kind}/{request}"
        _send(connection, method, target, request, deadline_ms=9_000)

    def send_crashing_request(self, target: str) -> None:
        """Send a request to a random VM that crashes each instance that runs it."""
        self._request_count += 1
        request = f"x{self._request_count}"
        address = self._random.choice(self.addresses)
        connection = ClientConnection(self._loop, address, self._on_outcome)
        self._request_by_connection[connection] = request
        now = self._loop.clock.now()
        self._record.timing.on_request_sent(request, address, now)
        method = "POST" if target.startswith("/book/") else "GET"
        _send(connection, method, target, request)

    def check_executions(self) -> None:
        """Check the executions of all bookings against the responses.

        A booking must run at most once, and not at all if a response said so.
        """
        for request in sorted(self.bookings):
            runs = self._record.runs_by_request[request]
            if runs > 1:
                self._record.findings.append(f"{request} ran {runs} times")
            if runs and request in self.reported_not_run:
                self._record.findings.append(f"{request} ran and was said not to have")

    def _on_outcome(self, connection: ClientConnection, reason: str) -> None:
        request = self._request_by_connection.pop(connection, "")
        if not request:
            self._record.findings.append(f"{reason} on an idle connection")
            return
        if reason:
            self.outcomes["closed"] += 1
            self.on_ended(request, connection.address, "closed")
            self._count_in_cut(request, 0)
            if connection.is_connected:
                self._record.timing.on_connection_lost(request, self._loop.clock.now())
            return
        head = connection.head
        assert head is not None
        self.outcomes[str(head.status)] += 1
        self.on_ended(request, connection.address, str(head.status))
        self._record.timing.on_answer_passed_on(
            request,
            head.header(b"server-limit") is not None,
            head.header(b"server-leaving") is not None,
            self._loop.clock.now(),
        )
        self._count_in_cut(request, head.status)
        self._check_response(request, connection)
        if head.header(b"connection") == b"close":
            return
        for idle in self._idle_by_address.values():
            if connection in idle:
                return
        self._idle_by_address[connection.address].append(connection)

    def _count_in_cut(self, request: str, status: int) -> None:
        cuts = self._record.timing.cuts
        if cuts is None:
            return
        if self._record.timing.is_vm_disturbed(request):
            cuts.on_excused(request)
        elif status == 200:
            cuts.on_served(request)

    def _check_response(self, request: str, connection: ClientConnection) -> None:
        head = connection.head
        assert head is not None
        add_finding = self._record.findings.append
        if head.status in NOT_EXECUTED_STATUSES:
            self.reported_not_run.add(request)
        if head.header(b"galenaferry-request-id") != request.encode():
            add_finding(f"{request} got an answer to another request")
        if head.status == 200 and connection.body != expected_body(request):
            add_finding(f"{request} got a success with another body")
        if 400 <= head.status < 500 and head.status not in TRUE_REFUSALS:
            reason = (head.header(b"galenaferry-reason") or b"").decode()
            vm = connection.address[0]
            add_finding(f"{request} was rejected by {vm}: {head.status} {reason}")


def _send(
    connection: ClientConnection,
    method: str,
    target: str,
    request: str,
    deadline_ms: int = 3_000,
) -> None:
    connection.send(
        f"{method} {target} HTTP/1.1\r\nHost: soak.example\r\n"
        f"Galenaferry-Request-Id: {request}\r\nContent-Length: 0\r\n"
        f"Galenaferry-Request-Deadline-Ms: {deadline_ms}\r\n\r\n".encode()
    )
