"""Instances that come, go, fail and are told of, as one VM places work."""

from random import Random

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.choice import Chosen, NoInstance
from galenaferry.backends.messages import SelectionCriteria
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.health.beliefs import Outcome
from galenaferry.health.messages import Outcomes, Shown, instance_key
from galenaferry.network.loop import Loop
from galenaferry.placing.component import Placement, PlacementSettings
from galenaferry.placing.tests.builders import instance

NORTH = PlacementSettings("north", 0.7)


class Bench:
    def __init__(self, instances, seed=1):
        self.clock = FakeClock(1000.0)
        self.loop = Loop(self.clock)
        self.told = []
        self.placement = Placement(self.loop, NORTH, Random(seed), self.told.append)
        self.placement.replace(instances)

    def choose(self, tried=(), is_repeatable=False):
        criteria = SelectionCriteria(
            "bookings", "r", DEFAULT_POLICY, frozenset(tried), is_repeatable
        )
        share = self.placement.capacity_share(DEFAULT_POLICY)
        choice = self.placement.choose(criteria, share, True)
        return choice.instance.id if isinstance(choice, Chosen) else choice

    def chosen(self, count=100, **parts):
        return {self.choose(**parts) for _ in range(count)}

    def see(self, number, evidence, latency=100.0):
        address = instance(number).address
        self.placement.observe("bookings", address, "r", b"/", evidence, latency)
        self.loop.poll(0.0)

    def hear(self, number, outcome):
        shown = Shown(instance_key(instance(number).name), outcome)
        self.placement.on_outcomes("10.9.9.9:7000", Outcomes((shown,)))


def test_a_failure_is_told_at_once_and_a_success_only_of_a_suspect():
    bench = Bench([instance(1), instance(2)])
    bench.see(1, Evidence.SUCCESS)
    assert bench.told == []
    bench.see(1, Evidence.FAILURE)
    bench.see(1, Evidence.SUCCESS)
    outcomes = [shown.outcome for sent in bench.told for shown in sent.shown]
    assert outcomes == [Outcome.FAILED, Outcome.GOOD]


def test_what_another_vm_saw_keeps_work_away():
    bench = Bench([instance(1), instance(2)])
    bench.hear(1, Outcome.FAILED)
    assert bench.chosen() == {"i-2"}
    bench.clock.advance(60_000.0)
    assert bench.chosen() == {"i-1", "i-2"}


def test_an_outcome_of_an_unknown_instance_is_passed_over():
    bench = Bench([instance(1)])
    bench.hear(7, Outcome.FAILED)
    assert bench.chosen() == {"i-1"}


def test_an_instance_that_leaves_gets_nothing_new():
    bench = Bench([instance(1), instance(2)])
    bench.placement.replace([instance(1)._replace(is_leaving=True), instance(2)])
    assert bench.chosen() == {"i-2"}
    bench.placement.replace([])
    assert bench.choose() == NoInstance()


def test_an_address_that_goes_to_another_instance_gets_new_connections():
    bench = Bench([instance(1)])
    before = bench.placement.pool(instance(1))
    bench.placement.replace([instance(1)._replace(id="i-9", service="other")])
    bench.placement.replace([instance(1)._replace(id="i-8")])
    after = bench.placement.pool(instance(1)._replace(id="i-8"))
    assert before is not after
    assert bench.chosen() == {"i-8"}


def test_an_instance_born_again_under_its_id_starts_without_suspicion():
    bench = Bench([instance(1, born=1), instance(2)])
    bench.placement.on_outcomes(
        "10.9.9.9:7000",
        Outcomes((Shown(instance_key(instance(1, born=1).name), Outcome.FAILED),)),
    )
    assert bench.chosen() == {"i-2"}
    bench.placement.replace([instance(1, born=2), instance(2)])
    assert "i-1" in bench.chosen()


def test_an_instance_out_of_reach_here_is_tried_again_soon():
    bench = Bench([instance(1), instance(2)])
    bench.see(1, Evidence.LINK)
    assert bench.chosen() == {"i-2"}
    bench.clock.advance(30_000.0)
    assert "i-1" in bench.chosen()


def test_a_request_is_not_sent_twice_to_one_instance():
    bench = Bench([instance(1), instance(2)])
    assert bench.chosen(tried=[instance(1).address]) == {"i-2"}
    assert (
        bench.choose(tried=[instance(1).address, instance(2).address]) == NoInstance()
    )


def test_vms_use_their_own_slots_first_and_together_all_instances():
    vms = tuple(sorted(Vm(f"10.1.0.{n}:7000", "north") for n in range(12)))
    instances = [instance(number) for number in range(1, 9)]
    used = set()
    for vm in vms:
        bench = Bench(instances)
        bench.placement.share_with(vm, vms)
        mine = bench.chosen()
        assert len(mine) <= 5
        used |= mine
    assert len(used) == 8


def test_answers_are_overdue_by_the_target_until_enough_are_known():
    bench = Bench([instance(1)])
    assert bench.placement.overdue_after("r", 2000.0) == 2000.0
    for _ in range(10):
        bench.see(1, Evidence.SUCCESS, latency=300.0)
    assert bench.placement.overdue_after("r", 2000.0) == 600.0


def test_connections_are_shared_among_the_live_vms():
    bench = Bench([instance(1)])
    vms = tuple(Vm(f"10.1.0.{n}:7000", "north") for n in range(36))
    bench.placement.share_with(vms[0], vms)
    assert bench.placement.capacity_share(DEFAULT_POLICY).connections * 36 <= 330
