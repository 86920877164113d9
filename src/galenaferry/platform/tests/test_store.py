"""Calls to the store, and each way in which they can fail."""

import pytest

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import (
    HistoryLost,
    StoreVersion,
    TableRow,
    TableUpdate,
)
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

    def read_all(self, table="servers"):
        return self.call(lambda done: self.client.read_all(table, done))

    def read_changes(self, after, table="servers", era=1):
        version = StoreVersion(era, after)
        return self.call(
            lambda done: self.client.read_changes(table, version, 5000.0, done)
        )


def test_all_rows_are_read_over_several_pages():
    bench = StoreBench()
    for number in range(8):
        bench.store.put("servers", f"i-{number}", b"%d" % number)
    bench.store.put("other", "i-9", b"x")
    update = bench.read_all().unwrap()
    assert update.rows == tuple(TableRow(f"i-{n}", b"%d" % n) for n in range(8))
    assert (update.is_snapshot, update.version) == (
        True,
        StoreVersion(1, bench.store.version),
    )
    assert bench.store.calls == ["GET /rows-get"] * 3


def test_changes_and_removals_are_read_in_order():
    bench = StoreBench()
    bench.store.put("servers", "i-1", b"a")
    bench.store.put("servers", "i-2", b"b")
    before = bench.store.version
    bench.store.put("servers", "i-2", b"c")
    bench.store.remove("servers", "i-1")
    rows = (TableRow("i-2", b"c"), TableRow("i-1", None))
    assert bench.read_changes(before).unwrap() == TableUpdate(
        StoreVersion(1, before + 2), rows, False, StoreVersion(1, before + 2)
    )


def test_the_latest_change_of_a_table_is_told_apart_from_changes_of_others():
    bench = StoreBench()
    bench.store.put("op", "config", b"a")
    changed_at = StoreVersion(1, bench.store.version)
    before = bench.store.version - 1
    for number in range(3):
        bench.store.put("servers", f"i-{number}", b"b")
    whole = bench.read_all("op").unwrap()
    changes = bench.read_changes(before, "op").unwrap()
    assert whole.version == changes.version == StoreVersion(1, bench.store.version)
    assert whole.changed_at == changes.changed_at == changed_at


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


def test_changes_since_a_version_of_an_earlier_era_are_lost():
    # The counter has passed the reader's version again, so the store has no reason to
    # respond 410; only the era shows that changes were replaced by others.
    bench = StoreBench()
    bench.store.put("servers", "i-1", b"a")
    copy = bench.store.take_copy()
    bench.store.put("servers", "i-2", b"b")
    reader_version = bench.store.version
    bench.store.restore(copy)
    for number in range(3):
        bench.store.put("servers", f"i-{number + 3}", b"c")
    assert bench.store.version > reader_version
    assert bench.read_changes(reader_version).unwrap() == HistoryLost()
    snapshot = bench.read_all().unwrap()
    assert snapshot.version == StoreVersion(2, bench.store.version)
    assert [row.key for row in snapshot.rows] == ["i-1", "i-3", "i-4", "i-5"]


def test_a_version_that_the_store_does_not_have_is_lost():
    bench = StoreBench()
    copy = bench.store.take_copy()
    bench.store.put("servers", "i-1", b"a")
    reader_version = bench.store.version
    bench.store.restore(copy)
    assert bench.read_changes(reader_version).unwrap() == HistoryLost()


def test_a_response_of_an_earlier_era_is_an_error():
    bench = StoreBench()
    assert "era 1" in bench.read_changes(1, era=2).unwrap_err().text


def test_pages_of_different_eras_are_not_combined():
    bench = StoreBench()
    for number in range(8):
        bench.store.put("servers", f"i-{number}", b"x")
    copy = bench.store.take_copy()
    respond = bench.store.respond

    def respond_then_restore(method, target, body):
        response = respond(method, target, body)
        if len(bench.store.calls) == 2:
            bench.store.restore(copy)
        return response

    bench.store.respond = respond_then_restore
    assert "restored" in bench.read_all().unwrap_err().text
    assert len(bench.read_all().unwrap().rows) == 8


def test_a_store_without_eras_keeps_one():
    bench = StoreBench()
    bench.store.era = None
    bench.store.put("servers", "i-1", b"a")
    assert bench.read_all().unwrap().version == StoreVersion(0, bench.store.version)


@pytest.mark.parametrize("era", ["", "-1", "two", "\u00b2", "1e9", "9" * 30])
def test_an_invalid_era_is_an_error(era):
    bench = StoreBench()
    bench.store.era = era
    assert "era" in bench.read_all().unwrap_err().text
