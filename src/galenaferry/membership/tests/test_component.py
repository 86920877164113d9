"""VM list of one VM: when it is applied, announced and replicated."""

from random import Random

from circuits import Component
from result import Ok

from galenaferry.clock import FakeClock
from galenaferry.membership.component import ConfigurationStatus, MembershipComponent
from galenaferry.membership.messages import Freshness, Heartbeat, Member
from galenaferry.membership.vm_list import VmChange, VmRow
from galenaferry.network.loop import Loop
from galenaferry.store.messages import VmListUpdate

ROW = VmRow("10.0.0.9:80", "backend", "s", "north", "andes", "live")


def member(name, region="andes"):
    return Member(name, 1, 1, "north", region, False, 0)


class FakePlatform:
    def __init__(self):
        self.answers = []

    def list_vms(self, region, since, done):
        if self.answers:
            done(Ok(self.answers.pop(0)))


class MembershipBench:
    """A membership component with a fake clock and a fake platform."""

    def __init__(self, seeds=()):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.loop.register(Component())
        self.platform = FakePlatform()
        self.sent, self.applied = [], []
        self.component = MembershipComponent(
            self.loop,
            self.platform,
            member("me"),
            seeds,
            Random(1),
            lambda address, message: self.sent.append((address, message)),
            lambda: ConfigurationStatus(0, "", Freshness(0), False),
            lambda instances: self.applied.append(
                (self.component.is_list_known, instances)
            ),
        )

    def run(self, interval):
        ends_at = self.clock.now() + interval
        while self.clock.now() < ends_at:
            self.loop.poll(0.0)
            self.clock.advance(5.0)


def test_list_is_known_only_after_it_has_been_applied():
    bench = MembershipBench()
    bench.platform.answers = [VmListUpdate(3, (ROW,), ())]
    bench.run(1250.0)
    assert [(known, len(instances)) for known, instances in bench.applied] == [
        (False, 1)
    ]
    assert bench.component.is_list_known


def test_changes_of_one_poll_are_applied_once_and_pushed():
    bench = MembershipBench()
    bench.component.table.merge(member("peer"), 1000.0)
    changes = tuple(
        VmChange(n, f"10.0.0.{n}:80", ROW._replace(address=f"10.0.0.{n}:80"))
        for n in (4, 5)
    )
    bench.platform.answers = [
        VmListUpdate(3, (ROW,), ()),
        VmListUpdate(5, None, changes),
    ]
    bench.run(3000.0)
    assert [len(instances) for _, instances in bench.applied] == [1, 3]
    pushes = [
        message for address, message in bench.sent if not isinstance(message, Heartbeat)
    ]
    assert [len(push.entries) for push in pushes] == [2]


def test_seeds_get_heartbeats_when_the_platform_does_not_answer():
    bench = MembershipBench(seeds=(member("seed"),))
    bench.run(1200.0)
    assert {address for address, _ in bench.sent} == {"seed"}
    assert not bench.component.is_list_known


def test_list_of_another_region_is_not_pulled():
    bench = MembershipBench()
    bench.component.on_heartbeat(
        member("far", "altai"), Heartbeat(0, "", Freshness(0), 99, ())
    )
    assert bench.sent == []
