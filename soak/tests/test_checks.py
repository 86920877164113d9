"""The soak's response and execution checks report violations and nothing else."""

import socket

import pytest

from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from soak.callers import Callers
from soak.instances import ExecutionRecord, expected_body
from soak.proxy import Proxy


class ScriptedServer:
    """Sends the bytes that ``respond`` returns for each received block of bytes."""

    def __init__(self, loop, respond):
        self._loop = loop
        self._respond = respond
        self._socks = []
        self.listener = Listener(loop, ("127.0.0.1", 0), self._accept)
        self.address = ("127.0.0.1", self.listener.port)

    def _accept(self, sock):
        self._socks.append(sock)
        # 1 is ``READABLE`` of the loop.
        self._loop.watch(sock, 1, lambda flags: self._on_readable(sock))

    def _on_readable(self, sock):
        data = sock.recv(65536)
        if data:
            sock.sendall(self._respond(data))
        else:
            self._loop.unwatch(sock)


def response(status, request, body):
    head = f"HTTP/1.1 {status} x\r\nGalenaferry-Request-Id: {request}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def run_requests(respond, count=8):
    loop, record = Loop(), ExecutionRecord()
    server = ScriptedServer(loop, lambda data: respond(parse_request_id(data)))
    callers = Callers(loop, [server.address], record, seed=1)
    for _ in range(count):
        callers.send_request()
        for _ in range(20):
            loop.poll(1.0)
    return record, callers


def parse_request_id(data):
    line = next(
        x
        for x in data.split(b"\r\n")
        if x.lower().startswith(b"galenaferry-request-id")
    )
    return line.partition(b": ")[2].decode()


def test_expected_responses_are_not_reported():
    record, callers = run_requests(
        lambda request: response(200, request, expected_body(request))
    )
    callers.check_executions()
    assert record.findings == []
    assert callers.outcomes["200"] == 8


@pytest.mark.parametrize(
    ("respond", "text"),
    [
        (
            lambda request: response(200, "other", expected_body(request)),
            "another request",
        ),
        (lambda request: response(200, request, b"other"), "another body"),
        (lambda request: response(404, request, b""), "rejected"),
        (lambda request: response(403, request, b""), "rejected"),
        (lambda request: response(431, request, b""), "rejected"),
        (lambda request: response(503, request, b"") + b"more", "nobody asked for"),
    ],
)
def test_wrong_response_is_reported(respond, text):
    record, _ = run_requests(respond)
    assert any(text in finding for finding in record.findings)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusals_that_may_be_true_are_not_reported(status):
    record, _ = run_requests(lambda request: response(status, request, b""))
    assert record.findings == []


def test_booking_run_twice_or_reported_not_run_is_reported():
    record, callers = run_requests(lambda request: response(503, request, b""))
    first, second = sorted(callers.bookings)[:2]
    record.runs_by_request[first] = 2
    record.runs_by_request[second] = 1
    callers.check_executions()
    assert f"{first} ran 2 times" in record.findings
    assert f"{second} ran and was said not to have" in record.findings


def start_proxy(loop):
    """Return a proxy before a server that answers, and its address."""
    server = ScriptedServer(loop, lambda data: b"pong")
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    return Proxy(loop, address, server.address), address


@pytest.mark.parametrize(
    ("fault", "is_forwarded"), [("", True), ("silence", False), ("one_way", False)]
)
def test_proxy_drops_bytes_per_fault(fault, is_forwarded):
    loop = Loop()
    proxy, address = start_proxy(loop)
    if fault:
        proxy.start_fault(fault)
    caller = socket.create_connection(address)
    caller.setblocking(False)
    caller.sendall(b"ping")
    received = b""
    for _ in range(50):
        loop.poll(1.0)
        try:
            received += caller.recv(100)
        except BlockingIOError:
            continue
    assert (received == b"pong") is is_forwarded
    caller.close()


@pytest.mark.parametrize("is_open_before", [True, False])
def test_a_reset_is_no_orderly_end_that_completes_a_response_without_length(
    is_open_before,
):
    loop = Loop()
    proxy, address = start_proxy(loop)
    if not is_open_before:
        proxy.start_fault("reset")
    caller = socket.create_connection(address)
    caller.settimeout(5.0)
    for _ in range(20):
        loop.poll(1.0)
    if is_open_before:
        proxy.start_fault("reset")
    with pytest.raises(ConnectionResetError):
        caller.recv(100)
    caller.close()


class RecordingCuts:
    def __init__(self):
        self.calls = []

    def on_sent(self, request, vm, now, is_in_touch):
        return

    def on_served(self, request):
        self.calls.append("served")

    def on_excused(self, request):
        self.calls.append("excused")


@pytest.mark.parametrize(
    ("is_disturbed", "expected"), [(True, "excused"), (False, "served")]
)
def test_served_requests_of_disturbed_vms_are_left_out_like_failed_ones(
    is_disturbed, expected
):
    loop, record = Loop(), ExecutionRecord()
    server = ScriptedServer(loop, lambda data: success(parse_request_id(data)))
    record.timing.cuts = RecordingCuts()
    if is_disturbed:
        record.timing.on_vm_fault(server.address, loop.clock.now(), 60_000.0)
    callers = Callers(loop, [server.address], record, seed=1)
    callers.send_request()
    for _ in range(20):
        loop.poll(1.0)
    assert record.timing.cuts.calls == [expected]


def success(request):
    return response(200, request, expected_body(request))
