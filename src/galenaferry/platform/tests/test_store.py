"""Calls to the store, and each way in which they can fail."""

import pytest

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import HistoryLost, TableRow, TableUpdate
from galenaferry.network.loop import Loop
from galenaferry.platform.store import StoreClient
from galenaferry.platform.tests.fake_store_server import FakeStoreServer

MAX_IDLE_POLLS = 5


class StoreBench:
    def __init__(self):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.store = FakeStoreServer(self.loop)
        self.client = StoreClient(self.loop, self.store.address)

    def call(self, start):
        """Call ``start(done)``, run the loop until ``done`` is called, return its result."""
        results = []
        start(results.append)
        idle_polls = 0
        while not results:
            idle_polls = 0 if self.loop.poll(0.0) else idle_polls + 1
            if idle_polls > MAX_IDLE_POLLS:
                self.clock.advance(10.0)
        assert len(results) == 1
        return results[0]

    def read_all(self):
        return self.call(lambda done: self.client.read_all("servers", done))

    def read_changes(self, after):
        return self.call(
            lambda done: self.client.read_changes("servers", after, 5000.0, done)
        )


def test_all_rows_are_read_over_several_pages():
    bench = StoreBench()
    for number in range(8):
        bench.store.put("servers", f"i-{number}", b"%d" % number)
    bench.store.put("other", "i-9", b"x")
    update = bench.read_all().unwrap()
    assert update.rows == tuple(TableRow(f"i-{n}", b"%d" % n) for n in range(8))
    assert (update.is_snapshot, update.version) == (True, bench.store.version)
    assert bench.store.calls == ["GET /rows-get"] * 3


def test_changes_and_removals_are_read_in_order():
    bench = StoreBench()
    bench.store.put("servers", "i-1", b"a")
    bench.store.put("servers", "i-2", b"b")
    before = bench.store.version
    bench.store.put("servers", "i-2", b"c")
    bench.store.remove("servers", "i-1")
    rows = (TableRow("i-2", b"c"), TableRow("i-1", None))
    assert bench.read_changes(before).unwrap() == TableUpdate(before + 2, rows, False)


def test_lost_history_is_distinguished_from_a_failure():
    bench = StoreBench()
    bench.store.put("servers", "i-1", b"a")
    bench.store.drop_history()
    assert bench.read_changes(0).unwrap() == HistoryLost()


@pytest.mark.parametrize("fault", ["refuse", "silent", "lose", "garble"])
def test_each_fault_is_an_error_with_a_reason(fault):
    bench = StoreBench()
    bench.store.fault = fault
    assert bench.read_all().unwrap_err().text
    assert bench.read_changes(0).unwrap_err().text
    error = bench.call(lambda done: bench.client.put("vms", "vm-1", b"x", done))
    # The status alone acknowledges a write; its body is not needed.
    assert bool(error) is (fault != "garble")


def test_a_write_whose_response_is_lost_has_taken_effect():
    bench = StoreBench()
    bench.store.fault = "lose"
    assert bench.call(lambda done: bench.client.put("vms", "vm-1", b"x", done))
    assert bench.store.rows["vms", "vm-1"] == b"x"


def test_calls_go_to_a_changed_address():
    bench = StoreBench()
    other = FakeStoreServer(bench.loop)
    other.put("servers", "i-1", b"a")
    bench.client.set_address(other.address)
    assert len(bench.read_all().unwrap().rows) == 1
