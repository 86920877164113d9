"""Outcomes and notices that reach the VMs of several zones."""

from random import Random

from galenaferry.clock import FakeClock
from galenaferry.discovery.messages import NO_VERSION, TableNotice
from galenaferry.health.messages import InstanceOutcome, Outcomes
from galenaferry.health.posteriors import Outcome
from galenaferry.membership.messages import Member
from galenaferry.membership.state import MemberTable
from galenaferry.node.broadcasts import RELAYS_PER_ZONE, Broadcasts

ZONES = ("north", "middle", "south", "east", "west")
OUTCOMES = Outcomes((InstanceOutcome(7, Outcome.FAILED),))
NOTICE = TableNotice(NO_VERSION, NO_VERSION, ())


class Vm:
    def __init__(self, fleet, member, number):
        self.zone = member.zone
        self.is_up = True
        self.applied = 0
        self.notices = 0
        self._fleet = fleet
        table = MemberTable(member, Random(number))
        for other in fleet.members:
            table.merge(other, fleet.clock.now())
        self.broadcasts = Broadcasts(table, self, fleet.clock, Random(number))

    def send_to_all(self, addresses, message):
        for address in addresses:
            self._fleet.deliver(self, address, message)

    def receive(self, message):
        if isinstance(message, TableNotice):
            self.notices += 1
        elif self.broadcasts.accept_outcomes(message):
            self.applied += 1


class Fleet:
    def __init__(self, size, zone_count, loss=0.0, seed=1):
        self.clock = FakeClock(1000.0)
        self.random = Random(seed)
        self.loss = loss
        self.sent = self.sent_between_zones = 0
        self.members = [
            Member(f"10.0.{n}.1:7000", 1, 1, ZONES[n % zone_count], "r", False, 0)
            for n in range(size)
        ]
        self.by_address = {
            member.address: Vm(self, member, number)
            for number, member in enumerate(self.members)
        }
        self.vms = list(self.by_address.values())

    def deliver(self, sender, address, message):
        receiver = self.by_address[address]
        self.sent += 1
        self.sent_between_zones += receiver.zone != sender.zone
        if receiver.is_up and self.random.random() >= self.loss:
            receiver.receive(message)


def test_each_vm_applies_outcomes_once():
    fleet = Fleet(90, 3)
    fleet.vms[0].broadcasts.send_outcomes(OUTCOMES)
    assert [vm.applied for vm in fleet.vms] == [0] + [1] * 89
    assert fleet.sent_between_zones == 2 * RELAYS_PER_ZONE


def test_messages_of_one_vm_do_not_grow_with_the_fleet_of_other_zones():
    counts = []
    for zone_count in (1, 5):
        fleet = Fleet(60 * zone_count, zone_count)
        vm = fleet.vms[0]
        sent = []
        vm.send_to_all = lambda addresses, message, sent=sent: sent.extend(addresses)
        vm.broadcasts.send_outcomes(OUTCOMES)
        counts.append(len(sent))
    assert counts == [59, 59 + 4 * RELAYS_PER_ZONE]


def test_nearly_all_vms_learn_of_outcomes_while_messages_are_lost():
    reached = 0
    for seed in range(20):
        fleet = Fleet(90, 3, loss=0.05, seed=seed)
        fleet.vms[0].broadcasts.send_outcomes(OUTCOMES)
        reached += sum(vm.applied for vm in fleet.vms)
    assert reached >= 0.97 * 20 * 89


def test_a_relay_that_has_died_does_not_keep_its_zone_uninformed():
    informed = 0
    for seed in range(40):
        fleet = Fleet(90, 3, seed=seed)
        for vm in fleet.vms[1:]:
            vm.is_up = fleet.random.random() < 0.8
        fleet.vms[0].broadcasts.send_outcomes(OUTCOMES)
        for zone in ("middle", "south"):
            up = [vm for vm in fleet.vms if vm.zone == zone and vm.is_up]
            informed += all(vm.applied == 1 for vm in up)
    assert informed >= 0.9 * 80


def test_notices_stay_in_the_zone():
    fleet = Fleet(90, 3)
    fleet.vms[0].broadcasts.send_notice(NOTICE)
    assert fleet.sent_between_zones == 0
    assert sum(vm.notices for vm in fleet.vms) == 29
