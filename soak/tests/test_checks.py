"""The soak's checks find what they are for."""

import socket

import pytest

from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from soak.callers import Callers
from soak.instances import Ledger, body_of
from soak.proxy import Proxy


class Peer:
    """Answers every request with bytes that the test gives, or closes."""

    def __init__(self, loop, answer):
        self._loop = loop
        self._answer = answer
        self._socks = []
        self.listener = Listener(loop, ("127.0.0.1", 0), self._accept)
        self.address = ("127.0.0.1", self.listener.port)

    def _accept(self, sock):
        self._socks.append(sock)
        self._loop.watch(sock, 1, lambda flags: self._reply(sock))

    def _reply(self, sock):
        data = sock.recv(65536)
        if data:
            sock.sendall(self._answer(data))
        else:
            self._loop.unwatch(sock)


def answer(status, request, body):
    head = f"HTTP/1.1 {status} x\r\nGalenaferry-Request-Id: {request}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def play(reply, count=8):
    loop, ledger = Loop(), Ledger()
    peer = Peer(loop, lambda data: reply(request_of(data)))
    callers = Callers(loop, [peer.address], ledger, seed=1)
    for _ in range(count):
        callers.send_one()
        for _ in range(20):
            loop.poll(1.0)
    return ledger, callers


def request_of(data):
    line = next(
        x
        for x in data.split(b"\r\n")
        if x.lower().startswith(b"galenaferry-request-id")
    )
    return line.partition(b": ")[2].decode()


def test_right_answers_are_no_finding():
    ledger, callers = play(lambda request: answer(200, request, body_of(request)))
    callers.check_ledger()
    assert ledger.findings == []
    assert callers.outcomes["200"] == 8


@pytest.mark.parametrize(
    ("reply", "text"),
    [
        (lambda request: answer(200, "other", body_of(request)), "another request"),
        (lambda request: answer(200, request, b"other"), "another body"),
        (lambda request: answer(404, request, b""), "denied"),
        (lambda request: answer(503, request, b"") + b"more", "nobody asked for"),
    ],
)
def test_a_wrong_answer_is_found(reply, text):
    ledger, _ = play(reply)
    assert any(text in finding for finding in ledger.findings)


def test_a_booking_that_ran_twice_or_after_a_promise_is_found():
    ledger, callers = play(lambda request: answer(503, request, b""))
    first, second = sorted(callers.bookings)[:2]
    ledger.runs_by_request[first] = 2
    ledger.runs_by_request[second] = 1
    callers.check_ledger()
    assert f"{first} ran 2 times" in ledger.findings
    assert f"{second} ran and was said not to have" in ledger.findings


@pytest.mark.parametrize(
    ("fault", "is_through"), [("", True), ("silence", False), ("one_way", False)]
)
def test_the_proxy_loses_what_its_fault_says(fault, is_through):
    loop = Loop()
    peer = Peer(loop, lambda data: b"pong")
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = free.getsockname()
    proxy = Proxy(loop, address, peer.address)
    if fault:
        proxy.begin(fault)
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
    assert (received == b"pong") is is_through
    caller.close()
