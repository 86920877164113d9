"""Connections for which the process has no file descriptor left."""

import errno
import socket
from random import Random

import pytest
from result import Err

from galenaferry.clock import FakeClock
from galenaferry.discovery.follower import TableFollower
from galenaferry.discovery.messages import StoreVersion
from galenaferry.discovery.peer_updates import fetch_from_peer
from galenaferry.discovery.settings import FollowerSettings
from galenaferry.network.fetch import FetchRequest, fetch
from galenaferry.network.listener import Listener
from galenaferry.network.loop import Loop
from galenaferry.platform.store import StoreClient
from galenaferry.relay.answer_check import AnswerCheck, find_answer
from galenaferry.requests.tests.builders import Bench, healthy

ADDRESS = "127.0.0.1:9"


class Descriptors:
    """Whether sockets can be opened; accepted connections have theirs."""

    def __init__(self, monkeypatch):
        self.are_available = False
        self.attempts = 0
        self._socket = socket.socket
        monkeypatch.setattr(socket, "socket", self.open)

    def open(self, *arguments, **named):
        if self.are_available or "fileno" in named:
            return self._socket(*arguments, **named)
        self.attempts += 1
        raise OSError(errno.EMFILE, "Too many open files")


@pytest.fixture
def descriptors(monkeypatch):
    return Descriptors(monkeypatch)


def run_for(loop, clock, milliseconds):
    for _ in range(milliseconds):
        loop.poll(0.0)
        clock.advance(1.0)


def test_a_fetch_without_a_descriptor_fails_once(descriptors):
    """Guards against calls to the store or a VM whose callback never comes."""
    clock = FakeClock(1_000.0)
    loop = Loop(clock)
    results = []
    fetch(loop, FetchRequest(("127.0.0.1", 9), "GET", "/"), results.append)
    assert results == []
    run_for(loop, clock, 3_000)
    assert [(r.err_value.text, r.err_value.may_have_run) for r in results] == [
        ("EMFILE", False)
    ]


def test_a_table_is_read_again_after_a_read_without_a_descriptor(descriptors):
    """Guards against a reader that waits for good for a read that never began."""
    clock = FakeClock(1_000.0)
    loop = Loop(clock)
    follower = TableFollower(
        loop,
        FollowerSettings("servers", 0.0),
        StoreClient(loop, ("127.0.0.1", 9)),
        lambda *arguments: None,
        Random(1),
        lambda rows: None,
    )
    follower.begin()
    run_for(loop, clock, 1_000)
    first_attempts = descriptors.attempts
    run_for(loop, clock, 5_000)
    assert descriptors.attempts > first_attempts >= 1


def test_another_vm_is_asked_after_a_fetch_without_a_descriptor(descriptors):
    """Guards against a VM that asks no other one any more."""
    clock = FakeClock(1_000.0)
    loop = Loop(clock)
    results = []
    fetch_from_peer(loop, ADDRESS, "op", StoreVersion(0, 1), results.append)
    run_for(loop, clock, 3_000)
    assert [isinstance(result, Err) for result in results] == [True]


@pytest.mark.parametrize("path", ["/health", ""])
def test_the_check_of_own_links_ends_without_a_descriptor(descriptors, path):
    """Guards against a VM that holds back what it sees of instances for good."""
    clock = FakeClock(1_000.0)
    loop = Loop(clock)
    results = []
    find_answer(loop, [AnswerCheck(ADDRESS, path)] * 2, results.append)
    run_for(loop, clock, 3_000)
    assert results == [False]


def test_a_request_without_a_descriptor_is_refused_and_has_not_run(monkeypatch):
    """Guards against a caller whose connection closes without an answer."""
    bench = Bench(modes=[healthy()])
    caller = bench.caller().post("/bookings/one")
    descriptors = Descriptors(monkeypatch)
    status, headers, _ = caller.answers()[0]
    assert (status, headers["galenaferry-ran"]) == (503, "not-run")
    assert bench.executions() == 0
    descriptors.are_available = True
    assert bench.caller().post("/bookings/two").answers()[0][0] == 200


def test_a_listener_goes_on_when_descriptors_are_free_again(monkeypatch):
    """Guards against a listener that ends with an accept that failed."""
    clock = FakeClock(1_000.0)
    loop = Loop(clock)
    accepted = []
    listener = Listener(loop, ("127.0.0.1", 0), accepted.append)
    with socket.create_connection(("127.0.0.1", listener.port)):
        accept, fails = socket.socket.accept, [True]

        def fail_once(sock):
            if fails.pop():
                fails.append(False)
                raise OSError(errno.EMFILE, "Too many open files")
            fails.append(False)
            return accept(sock)

        monkeypatch.setattr(socket.socket, "accept", fail_once)
        run_for(loop, clock, 10)
    assert len(accepted) == 1
    accepted[0].close()
    listener.close()
