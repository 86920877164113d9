"""How fast VMs find each other after a start of the fleet or a restart."""

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


def make_member(number, incarnation=0, counter=0):
    return Member(
        address(number), incarnation, counter, "north", "andes", False, 0, False
    )


class Vm:
    def __init__(self, fleet, number, seeds, incarnation=1):
        self.sent = 0
        self.table = MemberTable(
            make_member(number, incarnation), Random(number), LIVENESS
        )
        self.table.add_unconfirmed(
            [make_member(seed) for seed in seeds], fleet.clock.now()
        )
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

    def live_counts(self):
        now = self.clock.now()
        return [len(vm.table.live(now)) for vm in self.by_address.values()]


def test_vms_started_together_find_nearly_all_others_within_a_second():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
        fleet.run_for(5.0)
    fleet.run_for(1_000.0)
    assert min(fleet.live_counts()) >= 36


def test_restarted_vm_finds_nearly_all_others_within_a_second():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
    fleet.run_for(10_000.0)
    fleet.start(0, incarnation=2)
    fleet.run_for(1_000.0)
    restarted = fleet.by_address[address(0)]
    assert len(restarted.table.live(fleet.clock.now())) >= 36


def test_heartbeats_of_live_members_are_not_answered():
    fleet = Fleet(40)
    for number in range(40):
        fleet.start(number)
    fleet.run_for(10_000.0)
    before = sum(vm.sent for vm in fleet.by_address.values())
    fleet.run_for(10_000.0)
    sent = sum(vm.sent for vm in fleet.by_address.values()) - before
    assert sent <= 40 * 10 * SETTINGS.fanout + 40


@pytest.mark.parametrize("size", [40, 91])
def test_live_members_of_a_steady_fleet_stay_complete(size):
    fleet = Fleet(size)
    for number in range(size):
        fleet.start(number)
    fleet.run_for(15_000.0)
    smallest_views = []
    for _ in range(10):
        fleet.run_for(500.0)
        smallest_views.append(min(fleet.live_counts()))
    assert min(smallest_views) >= size - 1


def test_news_reaches_some_members_at_once_also_those_not_heard_of():
    fleet = Fleet(40)
    fleet.start(0)
    vm = fleet.by_address[address(0)]
    before = vm.sent
    vm.heartbeats.send_to_some(4)
    # A VM that has just started knows its three seeds only.
    assert vm.sent - before == 3
