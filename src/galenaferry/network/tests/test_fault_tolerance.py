"""Exceptions in callbacks of a serving process."""

import socket

import pytest

from galenaferry.clock import FakeClock
from galenaferry.network.loop import READABLE, Loop
from galenaferry.network.stream import Stream


def fail(*arguments):
    raise ValueError("malformed message")


class Recorder:
    """Stream owner that fails on the data of a malformed message."""

    def __init__(self):
        self.received = b""
        self.ends = []

    def on_connected(self):
        return

    def on_data(self, data):
        if data == b"malformed":
            fail()
        self.received += data

    def on_drained(self):
        return

    def on_ended(self, reason):
        self.ends.append(reason)


def make_stream(loop):
    near, far = socket.socketpair()
    near.setblocking(False)
    owner = Recorder()
    return Stream(loop, near, owner, is_connecting=False), owner, far


def test_other_timers_and_callbacks_run_after_one_that_fails():
    loop = Loop(FakeClock(), is_fault_tolerant=True)
    calls = []
    loop.after(0.0, fail)
    loop.after(0.0, lambda: calls.append("timer"))
    loop.call_soon(fail)
    loop.call_soon(lambda: calls.append("soon"))
    loop.poll(0.0)
    assert calls == ["timer", "soon"]
    assert loop.failed_callback_count == 2


def test_a_repeated_callback_goes_on_after_a_failure():
    clock = FakeClock()
    loop = Loop(clock, is_fault_tolerant=True)
    loop.every(10.0, fail)
    for _ in range(3):
        clock.advance(10.0)
        loop.poll(0.0)
    assert loop.failed_callback_count == 3


def test_a_malformed_message_ends_only_its_own_connection():
    loop = Loop(FakeClock(), is_fault_tolerant=True)
    stream, owner, far = make_stream(loop)
    other_stream, other_owner, other_far = make_stream(loop)
    far.sendall(b"malformed")
    other_far.sendall(b"well")
    loop.poll(0.0)
    loop.poll(0.0)
    assert (stream.is_open, owner.ends) == (False, ["ECONNABORTED"])
    assert (other_stream.is_open, other_owner.received) == (True, b"well")
    assert loop.failed_callback_count == 1


def test_a_socket_whose_callback_fails_does_not_stop_the_others():
    loop = Loop(FakeClock(), is_fault_tolerant=True)
    near, far = socket.socketpair()
    loop.watch(near, READABLE, fail)
    _, other_owner, other_far = make_stream(loop)
    far.sendall(b"x")
    other_far.sendall(b"well")
    loop.poll(0.0)
    assert other_owner.received == b"well"


def test_a_loop_of_tests_raises():
    loop = Loop(FakeClock())
    loop.call_soon(fail)
    with pytest.raises(ValueError):
        loop.poll(0.0)
