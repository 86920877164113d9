"""Registration of a VM in the store and discovery of the others."""

import json
from random import Random

import pytest
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import (
    StoreVersion,
    TableError,
    TableRow,
    TableUpdate,
)
from galenaferry.membership.messages import Member
from galenaferry.membership.state import MemberTable
from galenaferry.network.loop import Loop
from galenaferry.node.vm_register import VmRegister


def row(number):
    value = json.dumps([f"10.0.0.{number}:7000", "north", "andes"]).encode()
    return TableRow(f"vm-{number}", value)


class FakeStore:
    def __init__(self, rows):
        self.rows = list(rows)
        self.calls = []
        self.is_unavailable = False

    def read_all(self, table, done):
        self.calls.append("read")
        if self.is_unavailable:
            done(Err(TableError("status 503")))
        else:
            done(
                Ok(TableUpdate(StoreVersion(1, 7), tuple(self.rows), is_snapshot=True))
            )

    def put(self, table, key, value, done):
        self.calls.append("write")
        if not self.is_unavailable:
            self.rows.append(TableRow(key, value))
        done("status 503" if self.is_unavailable else "")


class VmRegisterBench:
    def __init__(self, rows=(), is_unavailable=False, is_first_start=False):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.store = FakeStore(rows)
        self.store.is_unavailable = is_unavailable
        me = Member("10.0.0.1:7000", 1, 0, "north", "andes", False, 0)
        self.members = MemberTable(me, Random(1))
        self.register = VmRegister(
            self.loop, self.store, "vms", "vm-1", self.members, Random(1)
        )
        self.register.begin(is_first_start)

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            self.clock.advance(10.0)

    def known_addresses(self):
        return {member.address for member in self.members.other_members()}


def test_a_restarted_vm_knows_the_others_at_once_and_writes_nothing():
    bench = VmRegisterBench([row(1), row(2), row(3)])
    assert bench.known_addresses() == {"10.0.0.2:7000", "10.0.0.3:7000"}
    bench.run_for(5_000.0)
    assert "write" not in bench.store.calls


def test_a_vm_whose_row_is_missing_or_differs_writes_it():
    moved = TableRow("vm-1", row(9).value)
    for rows in ([], [row(2)], [moved]):
        bench = VmRegisterBench(rows)
        bench.run_for(1_100.0)
        assert bench.store.calls.count("write") == 1
        assert bench.store.rows[-1] == row(1)


def test_vms_of_a_first_start_find_each_other_after_they_have_written():
    bench = VmRegisterBench(is_first_start=True)
    assert bench.store.calls == []
    bench.run_for(1_000.0)
    bench.store.rows.append(row(2))
    bench.run_for(4_000.0)
    assert bench.store.calls == ["write", "read"]
    assert bench.known_addresses() == {"10.0.0.2:7000"}


@pytest.mark.parametrize("is_first_start", [True, False])
def test_calls_are_retried_while_the_store_is_unavailable(is_first_start):
    bench = VmRegisterBench(
        [row(2)], is_unavailable=True, is_first_start=is_first_start
    )
    bench.run_for(5_000.0)
    assert bench.known_addresses() == set()
    bench.store.is_unavailable = False
    bench.run_for(5_000.0)
    assert bench.known_addresses() == {"10.0.0.2:7000"}


def test_an_invalid_row_is_ignored():
    invalid = [
        b"{",
        b"[1]",
        b"\xff",
        b'["nowhere", "a", "b"]',
        b'["10.0.0.3", "a", "b"]',
    ]
    rows = [TableRow(f"vm-{n}", value) for n, value in enumerate(invalid, start=5)]
    bench = VmRegisterBench([*rows, row(2)])
    assert bench.known_addresses() == {"10.0.0.2:7000"}


def test_a_row_that_a_restored_store_lacks_is_written_again():
    bench = VmRegisterBench([row(1), row(2)])
    bench.run_for(2_000.0)
    bench.store.rows = [row(2)]
    bench.register.on_restored()
    bench.run_for(1_100.0)
    assert bench.store.rows == [row(2), row(1)]
