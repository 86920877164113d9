"""Checks whether an address accepts connections."""

import socket

import pytest

from galenaferry.clock import FakeClock
from galenaferry.network.connect_check import ACCEPTED_MS, ConnectCheck
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop


def run_check(on_accepted):
    """Return the results of a check of a listener, or of a closed port if None."""
    loop = Loop(FakeClock(1_000.0))
    listener = Listener(loop, ("127.0.0.1", 0), on_accepted or (lambda sock: None))
    port = listener.port
    if on_accepted is None:
        listener.close()
    results = []
    ConnectCheck(loop, f"127.0.0.1:{port}", results.append)
    for _ in range(10):
        loop.poll(0.0)
    loop.clock.advance(ACCEPTED_MS)
    for _ in range(3):
        loop.poll(0.0)
    return results


@pytest.mark.parametrize(
    ("on_accepted", "expected"),
    [([].append, True), (socket.socket.close, False), (None, False)],
)
def test_an_address_accepts_if_its_connection_stays_open(on_accepted, expected):
    assert run_check(on_accepted) == [expected]
