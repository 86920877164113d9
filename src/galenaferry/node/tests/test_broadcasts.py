"""Outcomes and notices that reach the VMs of several zones."""

from random import Random

import pytest

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import NO_VERSION, TableNotice
from galenaferry.health.messages import InstanceOutcome
from galenaferry.health.posteriors import Outcome
from galenaferry.membership.messages import Member
from galenaferry.membership.state import MemberTable
from galenaferry.network.loop import Loop
from galenaferry.node.broadcasts import GATHERING_MS, HUBS_PER_ZONE, Broadcasts

ZONES = ("north", "middle", "south", "east", "west")
FAILURE = (InstanceOutcome(7, Outcome.FAILED),)
NOTICE = TableNotice(NO_VERSION, NO_VERSION, ())
DELAY_MS = 3.0


class Vm:
    def __init__(self, fleet, member, number):
        self.zone = member.zone
        self.is_up = True
        self.applied_at = []
        self.sent = self.received = self.notices = 0
        self._fleet = fleet
        table = MemberTable(member, Random(number))
        for other in fleet.members:
            table.merge(other, fleet.clock.now())
        self.broadcasts = Broadcasts(fleet.loop, table, self, Random(number))

    def send_to_all(self, addresses, message):
        for address in addresses:
            self.sent += 1
            self._fleet.send(self, address, message)

    def receive(self, message):
        self.received += 1
        if isinstance(message, TableNotice):
            self.notices += 1
            return
        new_rows = self.broadcasts.accept_outcomes(message).instance_outcomes
        self.applied_at += [self._fleet.clock.now()] * len(new_rows)


class Fleet:
    def __init__(self, size, zone_count, loss=0.0, seed=1):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.random = Random(seed)
        self.loss = loss
        self.sent_between_zones = 0
        self.members = [
            Member(f"10.0.{n}.1:7000", 1, 1, ZONES[n % zone_count], "r", False, 0)
            for n in range(size)
        ]
        self.by_address = {
            member.address: Vm(self, member, number)
            for number, member in enumerate(self.members)
        }
        self.vms = list(self.by_address.values())

    def send(self, sender, address, message):
        receiver = self.by_address[address]
        self.sent_between_zones += receiver.zone != sender.zone
        if receiver.is_up and self.random.random() >= self.loss:
            self.loop.after(DELAY_MS, lambda: receiver.receive(message))

    def run_for(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.clock.advance(1.0)
            self.loop.poll(0.0)


@pytest.mark.parametrize("number", range(8))
def test_each_other_vm_applies_an_outcome_once_and_soon(number):
    fleet = Fleet(90, 3)
    started_at = fleet.clock.now()
    fleet.vms[number].broadcasts.send_outcomes(FAILURE)
    fleet.run_for(200.0)
    counts = [len(vm.applied_at) for vm in fleet.vms]
    assert counts == [int(n != number) for n in range(90)]
    latest = max(at for vm in fleet.vms for at in vm.applied_at)
    assert latest - started_at <= GATHERING_MS + 3 * DELAY_MS
    assert fleet.sent_between_zones == 2 * HUBS_PER_ZONE


def test_outcomes_seen_at_the_same_time_share_datagrams():
    # 300 failures a second in 5 zones of 60 VMs each, as in a large fleet on a bad day.
    fleet = Fleet(300, 5)
    for _ in range(150):
        sender = fleet.random.choice(fleet.vms)
        sender.broadcasts.send_outcomes(FAILURE)
        fleet.run_for(3.0)
    fleet.run_for(100.0)
    assert all(len(vm.applied_at) >= 140 for vm in fleet.vms)
    received = sorted(vm.received for vm in fleet.vms)
    assert received[150] <= 2 * 0.45 * 1000.0 / GATHERING_MS + 10


def test_nearly_all_vms_learn_of_outcomes_while_messages_are_lost():
    reached = 0
    for seed in range(20):
        fleet = Fleet(90, 3, loss=0.05, seed=seed)
        fleet.vms[0].broadcasts.send_outcomes(FAILURE)
        fleet.run_for(100.0)
        reached += sum(len(vm.applied_at) for vm in fleet.vms)
    assert reached >= 0.97 * 20 * 89


def test_a_hub_that_has_died_does_not_keep_its_zone_uninformed():
    for number in range(6):
        fleet = Fleet(90, 3)
        hubs = fleet.vms[number].broadcasts._find_hubs()
        for address in hubs[::2]:
            fleet.by_address[address].is_up = False
        fleet.vms[number].broadcasts.send_outcomes(FAILURE)
        fleet.run_for(100.0)
        others = [vm for vm in fleet.vms if vm.is_up and vm is not fleet.vms[number]]
        assert all(len(vm.applied_at) == 1 for vm in others)


def test_notices_go_to_the_own_zone_and_the_hubs_of_others():
    fleet = Fleet(90, 3)
    fleet.vms[0].broadcasts.send_notice(NOTICE)
    fleet.run_for(10.0)
    assert fleet.sent_between_zones == 2 * HUBS_PER_ZONE
    assert sum(vm.notices for vm in fleet.vms) == 29 + 2 * HUBS_PER_ZONE
    assert fleet.vms[0].notices == 0
