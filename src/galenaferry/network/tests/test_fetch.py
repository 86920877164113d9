"""Limits on the time of a single request to another process."""

import pytest

from galenaferry.clock import FakeClock
from galenaferry.network import fetch as fetch_module
from galenaferry.network.fetch import (
    MAX_TRANSFER_MS,
    FetchRequest,
    FetchResponse,
    fetch,
)
from galenaferry.network.loop import Loop

ADDRESS = ("10.0.0.1", 80)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"


class ScriptedStream:
    """Stream whose events come from the test."""

    def __init__(self):
        self.bytes_sent = 0
        self.is_open = True

    def write(self, data):
        self.bytes_sent += len(data)

    def close(self):
        self.is_open = False


class FetchBench:
    def __init__(self, monkeypatch, **limits):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.stream = ScriptedStream()
        self.results = []

        def connect(loop, address, owner):
            self.owner = owner
            return self.stream

        monkeypatch.setattr(fetch_module, "connect", connect)
        request = FetchRequest(ADDRESS, "GET", "/", **limits)
        fetch(self.loop, request, self.results.append)

    def run_for(self, interval, feed=None, every=100.0):
        """Run, and feed a part of the response at an interval."""
        ends_at = self.clock.now() + interval
        due = self.clock.now()
        while self.clock.now() < ends_at and not self.results:
            if feed is not None and self.clock.now() >= due:
                due += every
                self.owner.on_data(feed)
            self.clock.advance(10.0)
            self.loop.poll(0.0)

    @property
    def error(self):
        return self.results[0].err().text


def make_transfer(monkeypatch, **limits):
    bench = FetchBench(monkeypatch, timeout=1_000.0, stall_timeout=500.0, **limits)
    bench.owner.on_connected()
    bench.run_for(300.0)
    bench.owner.on_data(HEAD)
    return bench


def test_a_transfer_that_keeps_arriving_is_not_given_up(monkeypatch):
    bench = make_transfer(monkeypatch)
    bench.run_for(9_950.0, feed=b"x" * 900)
    assert bench.results == []
    bench.run_for(2_000.0, feed=b"x" * 1_000)
    assert len(bench.results[0].ok().body) == 100_000


def test_a_transfer_that_stalls_is_given_up_with_what_had_come(monkeypatch):
    bench = make_transfer(monkeypatch)
    bench.run_for(2_000.0, feed=b"x" * 1_000)
    started_at = bench.clock.now()
    bench.run_for(5_000.0)
    assert bench.clock.now() - started_at <= 520.0
    assert f"{len(HEAD) + 20_000} bytes received" in bench.error
    assert not bench.stream.is_open


def test_a_transfer_without_end_is_given_up(monkeypatch):
    bench = make_transfer(monkeypatch)
    bench.run_for(2.0 * MAX_TRANSFER_MS, feed=b"x")
    assert bench.clock.now() - 1000.0 <= MAX_TRANSFER_MS + 20.0
    assert bench.results[0].is_err()


@pytest.mark.parametrize("stall_timeout", [None, 500.0])
def test_a_server_that_sends_nothing_is_given_up_after_the_timeout(
    monkeypatch, stall_timeout
):
    bench = FetchBench(monkeypatch, timeout=1_000.0, stall_timeout=stall_timeout)
    bench.owner.on_connected()
    bench.run_for(5_000.0)
    assert bench.clock.now() - 1000.0 <= 1_020.0
    assert bench.results[0].err().may_have_run


def test_without_a_stall_timeout_the_whole_time_is_limited(monkeypatch):
    bench = FetchBench(monkeypatch, timeout=1_000.0)
    bench.owner.on_connected()
    bench.owner.on_data(HEAD)
    bench.run_for(5_000.0, feed=b"x")
    assert bench.clock.now() - 1000.0 <= 1_020.0


def test_a_connection_that_is_not_established_is_given_up_early(monkeypatch):
    bench = FetchBench(monkeypatch, timeout=5_000.0, connect_timeout=300.0)
    bench.run_for(5_000.0)
    assert bench.clock.now() - 1000.0 <= 320.0
    assert bench.error == "no connection within 300 ms"
    assert not bench.results[0].err().may_have_run


def test_the_connect_timeout_does_not_end_an_established_connection(monkeypatch):
    bench = FetchBench(monkeypatch, timeout=5_000.0, connect_timeout=300.0)
    bench.owner.on_connected()
    bench.run_for(4_000.0)
    assert bench.results == []


def test_silence_in_the_midst_of_a_response_ends_a_fetch_that_may_wait_long(
    monkeypatch,
):
    bench = FetchBench(monkeypatch, timeout=4_500.0, stall_timeout=500.0)
    bench.owner.on_connected()
    bench.run_for(200.0)
    bench.owner.on_data(HEAD)
    bench.run_for(5_000.0)
    assert bench.clock.now() - 1000.0 <= 720.0
    assert bench.results[0].is_err()


def test_a_response_of_which_only_the_status_counts_ends_with_its_head(monkeypatch):
    bench = FetchBench(monkeypatch, timeout=1_000.0, needs_body=False)
    bench.owner.on_connected()
    bench.owner.on_data(HEAD + b"x" * 65_000)
    assert bench.results[0].ok() == FetchResponse(
        200, ((b"content-length", b"100000"),), b""
    )
    assert not bench.stream.is_open
    assert bench.owner._body == []


def test_a_head_without_an_end_is_given_up(monkeypatch):
    bench = FetchBench(monkeypatch, timeout=1_000.0, needs_body=False)
    bench.owner.on_connected()
    bench.run_for(900.0, feed=b"HTTP/1.1 200 OK\r\nFiller: " + b"x" * 65_536)
    assert "head of the response is too large" in bench.error
    assert not bench.stream.is_open
