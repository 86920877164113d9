"""Blocked requests in the store, each way in which its calls can fail."""

from random import Random

import pytest
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.crashes.blocked_table import RETRY_DELAY_MS, BlockedTable
from galenaferry.crashes.messages import Blocked
from galenaferry.discovery.messages import (
    NO_VERSION,
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)
from galenaferry.network.loop import Loop

KEY = b"headheadbodybody"
BLOCKED = Blocked(frozenset(("v1",)), frozenset(("v3",)))


class FakeStore:
    def __init__(self):
        self.value_by_key = {}
        self.is_unavailable = False
        self.calls = 0

    def read_all(self, table, done):
        self.calls += 1
        if self.is_unavailable:
            done(Err(TableError("status 503")))
            return
        rows = tuple(TableRow(*item) for item in self.value_by_key.items())
        done(Ok(TableUpdate(StoreVersion(1, 7), rows, is_snapshot=True)))

    def put(self, table, key, value, done):
        self.calls += 1
        if not self.is_unavailable:
            self.value_by_key[key] = value
        done("status 503" if self.is_unavailable else "")

    def insert(self, table, key, value, done):
        if key in self.value_by_key:
            done("status 412")
        else:
            self.put(table, key, value, done)


class TableBench:
    def __init__(self, store=None, peer_rows=()):
        self.clock = FakeClock(1_000.0)
        self.loop = Loop(self.clock)
        self.store = store or FakeStore()
        self.loaded = {}
        self.blocked = {}
        update = TableUpdate(NO_VERSION, tuple(peer_rows), is_snapshot=True)
        self.table = BlockedTable(
            self.loop,
            self.store,
            "blocked",
            Random(1),
            lambda done: done(Ok(update)),
            self.loaded.update,
            lambda: self.blocked,
        )

    def run_for(self, interval):
        self.clock.advance(interval)
        self.loop.poll(0.0)


def test_a_blocked_request_is_read_by_another_vm():
    bench = TableBench()
    bench.table.save(KEY, BLOCKED)
    other = TableBench(bench.store)
    other.table.load()
    assert other.loaded == {KEY: BLOCKED}


def test_a_lifted_request_is_not_read():
    bench = TableBench()
    bench.table.save(KEY, BLOCKED)
    bench.table.save(KEY, None)
    bench.table.load()
    assert bench.loaded == {}


def test_a_write_is_repeated_until_the_store_is_back():
    bench = TableBench()
    bench.store.is_unavailable = True
    bench.table.save(KEY, BLOCKED)
    bench.run_for(RETRY_DELAY_MS)
    bench.store.is_unavailable = False
    bench.run_for(RETRY_DELAY_MS)
    calls = bench.store.calls
    bench.run_for(RETRY_DELAY_MS)
    assert bench.store.calls == calls
    bench.table.load()
    assert bench.loaded == {KEY: BLOCKED}


def test_another_vm_is_asked_while_the_store_is_away():
    source = TableBench()
    source.blocked = {KEY: BLOCKED}
    bench = TableBench(peer_rows=source.table.update_since(NO_VERSION).rows)
    bench.store.is_unavailable = True
    bench.table.load()
    assert bench.loaded == {KEY: BLOCKED}


def test_the_trial_of_a_version_is_granted_once():
    bench = TableBench()
    results = []
    for version in ("v2", "v2", "v3"):
        bench.table.claim_trial(KEY, version, results.append)
    bench.store.is_unavailable = True
    bench.table.claim_trial(KEY, "v4", results.append)
    assert results == [True, False, True, False]
    bench.store.is_unavailable = False
    bench.table.load()
    assert bench.loaded == {}


def test_rows_are_written_again_after_a_restore():
    bench = TableBench()
    bench.blocked = {KEY: BLOCKED}
    bench.table.on_restored()
    bench.run_for(1_000.0)
    bench.table.load()
    assert bench.loaded == {KEY: BLOCKED}


@pytest.mark.parametrize(
    "value", [b"", b"[]", b"{}", b'{"is_blocked": true, "crashed": 1, "serving": []}']
)
def test_an_invalid_row_is_skipped(value):
    bench = TableBench()
    bench.store.value_by_key = {"zz": value, KEY.hex(): value}
    bench.table.load()
    assert bench.loaded == {}


def test_pauses_during_an_outage_do_not_multiply_the_reads():
    bench = TableBench()
    bench.store.is_unavailable = True
    for _ in range(5):
        bench.table.load()
    calls = bench.store.calls
    for _ in range(40):
        bench.run_for(0.25 * RETRY_DELAY_MS)
    assert 9 <= bench.store.calls - calls <= 10
