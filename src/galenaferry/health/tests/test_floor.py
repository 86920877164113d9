"""The floor holds whatever verdicts arrive, in any order, at any VM."""

import math

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from galenaferry.attempts.messages import Evidence
from galenaferry.health.floor import Condition, Rank, admit
from galenaferry.health.messages import HealthState
from galenaferry.health.state import UNREACHABLE_AFTER
from galenaferry.health.tests.builders import VmBook, make_instances

VM_COUNT = 4
INSTANCE_COUNT = 8
FLOOR = 70


def condition(number, rank, badness=0.0, is_cold=False, is_leaving=False):
    return Condition(f"i{number}", rank, badness, 0.02, is_cold, is_leaving)


def test_the_least_bad_are_admitted_first_and_unreachable_ones_last():
    conditions = [
        condition(0, Rank.UNREACHABLE),
        condition(1, Rank.SICK, 0.9),
        condition(2, Rank.SICK, 0.2),
        condition(3, Rank.HEALTHY),
    ]
    admission = admit(conditions, 50)
    assert admission.is_bound
    assert admission.weight_by_address == {"i0": 0.0, "i1": 0.0, "i2": 1.0, "i3": 1.0}


def test_cold_and_leaving_instances_are_no_capacity():
    conditions = [
        condition(0, Rank.HEALTHY, is_cold=True),
        condition(1, Rank.HEALTHY, is_leaving=True),
        condition(2, Rank.SICK, 0.9),
        condition(3, Rank.HEALTHY),
    ]
    assert admit(conditions, 60).weight_by_address == {
        "i0": 1.0,
        "i1": 0.0,
        "i2": 1.0,
        "i3": 1.0,
    }


class RacingEjections(RuleBasedStateMachine):
    """Homes, lost links, restarts and lists race before several VMs."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.vms = [VmBook() for _ in range(VM_COUNT)]
        self.listed = [list(make_instances(INSTANCE_COUNT)) for _ in range(VM_COUNT)]

    @rule(
        vm=st.integers(0, VM_COUNT - 1),
        home=st.integers(0, 2),
        number=st.integers(0, INSTANCE_COUNT - 1),
        state=st.sampled_from(HealthState),
        badness=st.floats(0, 1),
        age=st.integers(0, 20_000),
    )
    def hear(self, vm, home, number, state, badness, age):
        instance = make_instances(INSTANCE_COUNT)[number]
        self.vms[vm].hear(
            f"home{home}", instance, state, max(0.0, self.now - age), badness
        )

    @rule(vm=st.integers(0, VM_COUNT - 1), number=st.integers(0, INSTANCE_COUNT - 1))
    def lose_link(self, vm, number):
        address = make_instances(INSTANCE_COUNT)[number].address
        for _ in range(UNREACHABLE_AFTER):
            self.vms[vm].book.on_attempt(address, Evidence.LINK, self.now)

    @rule(vm=st.integers(0, VM_COUNT - 1), number=st.integers(0, INSTANCE_COUNT - 1))
    def leave(self, vm, number):
        rows = self.listed[vm]
        rows[number] = rows[number]._replace(is_leaving=not rows[number].is_leaving)

    @rule(interval=st.integers(1, 20_000))
    def wait(self, interval):
        self.now += interval

    @invariant()
    def floor_holds_at_every_vm(self):
        for vm, rows in zip(self.vms, self.listed):
            weights = vm.weights(tuple(rows), FLOOR, self.now)
            present = [row for row in rows if not row.is_leaving]
            in_full = sum(1 for row in present if weights[row.address] >= 1.0)
            assert in_full >= math.ceil(len(present) * FLOOR / 100.0)
            assert all(weights[row.address] == 0.0 for row in rows if row.is_leaving)


TestRacingEjections = seed(7)(RacingEjections.TestCase)
TestRacingEjections.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    database=None,
    derandomize=True,
)


def test_a_verdict_expires_when_its_home_falls_silent():
    vm, instances = VmBook(), make_instances(4)
    vm.hear("home", instances[0], HealthState.SICK, 0.0)
    assert vm.weights(instances, 50, 1000.0)[instances[0].address] == 0.0
    assert vm.weights(instances, 50, 20_000.0)[instances[0].address] == 1.0


def test_the_worst_word_of_two_homes_counts():
    vm, instances = VmBook(), make_instances(4)
    vm.hear("one", instances[0], HealthState.SICK, 0.0)
    vm.hear("two", instances[0], HealthState.HEALTHY, 1.0)
    assert vm.weights(instances, 50, 2.0)[instances[0].address] == 0.0
