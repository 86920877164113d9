"""How soon VMs that start together or again know each other."""

from random import Random

import pytest

from galenaferry.clock import FakeClock
from galenaferry.membership.heartbeats import Heartbeats, HeartbeatSettings
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.membership.state import Liveness, MemberTable
from galenaferry.network.loop import Loop

SETTINGS = HeartbeatSettings(interval=1_000.0, fanout=2)
LIVENESS = Liveness(6_000.0, timeout_per_member=200.0, sample_size=16)
DELAY_MS = 5.0


def address(number):
    return f"10.0.0.{number}:7000"


def entry(number, incarnation=0, counter=0):
    return Member(
        address(number), incarnation, counter, "north", "andes", False, 0, False
    )


class Vm:
    def __init__(self, fleet, number, seeds, incarnation=1):
        self.sent = 0
        self.table = MemberTable(entry(number, incarnation), Random(number), LIVENESS)
        self.table.add_unconfirmed([entry(seed) for seed in seeds], fleet.clock.now())
        self.heartbeats = Heartbeats(
            fleet.loop, self.table, SETTINGS, self._send, self._compose
        )
        self._fleet = fleet

    def _send(self, target, heartbeat):
        self.sent += 1
        me = self.table.me
        self._fleet.loop.after(
            DELAY_MS, lambda: self._fleet.deliver(target, me, heartbeat)
        )

    def _compose(self, sample):
        self.table.advance_own_entry(0, False)
        return Heartbeat(0, "", Freshness(0), 0, sample)


class Fleet:
    def __init__(self, size):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.size = size
        self.by_address = {}

    def start(self, number, incarnation=1):
        seeds = [(number + step) % self.size for step in (1, 7, 13)]
        self.by_address[address(number)] = Vm(self, number, seeds, incarnation)

    def deliver(self, target, sender, heartbeat):
        vm = self.by_address.get(target)
        if vm is not None:
            vm.heartbeats.on_heartbeat(sender, heartbeat)

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            self.clock.advance(1.0)

    def known(self):
        now = self.clock.now()
        return [len(vm.table.live(now)) for vm in self.by_address.values()]


def test_vms_that_start_together_know_nearly_all_others_within_a_second():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
        fleet.run_for(5.0)
    fleet.run_for(1_000.0)
    assert min(fleet.known()) >= 36


def test_a_vm_that_starts_again_is_known_to_those_that_it_meets_and_learns_from_them():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
    fleet.run_for(10_000.0)
    fleet.start(0, incarnation=2)
    fleet.run_for(1_000.0)
    again = fleet.by_address[address(0)]
    assert len(again.table.live(fleet.clock.now())) >= 36


def test_members_that_know_each_other_do_not_answer_heartbeats():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
    fleet.run_for(10_000.0)
    before = sum(vm.sent for vm in fleet.by_address.values())
    fleet.run_for(10_000.0)
    sent = sum(vm.sent for vm in fleet.by_address.values()) - before
    assert sent <= 40 * 10 * SETTINGS.fanout + 40


@pytest.mark.parametrize("size", [40, 91])
def test_the_views_of_a_settled_fleet_are_whole_and_stay(size):
    fleet = Fleet(size)
    for number in range(size):
        fleet.start(number)
    fleet.run_for(15_000.0)
    views = []
    for _ in range(10):
        fleet.run_for(500.0)
        views.append(min(fleet.known()))
    assert min(views) >= size - 1
