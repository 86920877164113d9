"""How a VM learns where the others are."""

import json
from random import Random

import pytest
from result import Err, Ok

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import TableError, TableRow, TableUpdate
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
        self.is_away = False

    def read_all(self, table, done):
        self.calls.append("read")
        if self.is_away:
            done(Err(TableError("status 503")))
        else:
            done(Ok(TableUpdate(7, tuple(self.rows), is_snapshot=True)))

    def put(self, table, key, value, done):
        self.calls.append("write")
        if not self.is_away:
            self.rows.append(TableRow(key, value))
        done("status 503" if self.is_away else "")


class VmRegisterBench:
    def __init__(self, rows=(), is_away=False, is_first_start=False):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.store = FakeStore(rows)
        self.store.is_away = is_away
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

    def known(self):
        return {member.address for member in self.members.other_members()}


def test_a_vm_that_starts_again_knows_the_others_at_once_and_writes_nothing():
    bench = VmRegisterBench([row(1), row(2), row(3)])
    assert bench.known() == {"10.0.0.2:7000", "10.0.0.3:7000"}
    bench.run_for(5_000.0)
    assert "write" not in bench.store.calls


def test_a_vm_whose_row_is_missing_or_differs_writes_it():
    moved = TableRow("vm-1", row(9).value)
    for rows in ([], [row(2)], [moved]):
        bench = VmRegisterBench(rows)
        bench.run_for(1_100.0)
        assert bench.store.calls.count("write") == 1
        assert bench.store.rows[-1] == row(1)


def test_vms_that_start_for_the_first_time_find_each_other_after_they_have_written():
    bench = VmRegisterBench(is_first_start=True)
    assert bench.store.calls == []
    bench.run_for(1_000.0)
    bench.store.rows.append(row(2))
    bench.run_for(2_000.0)
    assert bench.store.calls == ["write", "read"]
    assert bench.known() == {"10.0.0.2:7000"}


@pytest.mark.parametrize("is_first_start", [True, False])
def test_a_store_that_is_away_is_asked_again(is_first_start):
    bench = VmRegisterBench([row(2)], is_away=True, is_first_start=is_first_start)
    bench.run_for(5_000.0)
    assert bench.known() == set()
    bench.store.is_away = False
    bench.run_for(3_000.0)
    assert bench.known() == {"10.0.0.2:7000"}


def test_a_row_that_names_no_vm_is_passed_over():
    bench = VmRegisterBench([TableRow("vm-8", b"{"), TableRow("vm-9", b"[1]"), row(2)])
    assert bench.known() == {"10.0.0.2:7000"}
