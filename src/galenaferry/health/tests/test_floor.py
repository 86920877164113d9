"""The floor holds on every VM, whatever verdicts arrive and in which order."""

import math

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from galenaferry.attempts.messages import Evidence
from galenaferry.health.floor import InstanceHealth, Rank, apply_floor
from galenaferry.health.messages import HealthState
from galenaferry.health.state import UNREACHABLE_AFTER_FAILURES
from galenaferry.health.tests.builders import VmHealth, make_instances

VM_COUNT = 4
INSTANCE_COUNT = 8
FLOOR = 70


def instance_health(number, rank, badness=0.0, is_cold=False, is_leaving=False):
    return InstanceHealth(f"i{number}", rank, badness, 0.02, is_cold, is_leaving)


def test_floor_admits_the_least_bad_first_and_unreachable_instances_last():
    instances = [
        instance_health(0, Rank.UNREACHABLE),
        instance_health(1, Rank.SICK, 0.9),
        instance_health(2, Rank.SICK, 0.2),
        instance_health(3, Rank.HEALTHY),
    ]
    decision = apply_floor(instances, 50)
    assert decision.is_floor_bound
    assert decision.weight_by_address == {"i0": 0.0, "i1": 0.0, "i2": 1.0, "i3": 1.0}


def test_cold_and_leaving_instances_do_not_count_as_capacity():
    instances = [
        instance_health(0, Rank.HEALTHY, is_cold=True),
        instance_health(1, Rank.HEALTHY, is_leaving=True),
        instance_health(2, Rank.SICK, 0.9),
        instance_health(3, Rank.HEALTHY),
    ]
    assert apply_floor(instances, 60).weight_by_address == {
        "i0": 1.0,
        "i1": 0.0,
        "i2": 1.0,
        "i3": 1.0,
    }


class RacingEjections(RuleBasedStateMachine):
    """Verdicts, connection failures and list changes reach VMs in any order."""

    @initialize()
    def start(self):
        self.now = 0.0
        self.vms = [VmHealth() for _ in range(VM_COUNT)]
        self.listed = [list(make_instances(INSTANCE_COUNT)) for _ in range(VM_COUNT)]

    @rule(
        vm=st.integers(0, VM_COUNT - 1),
        home=st.integers(0, 2),
        number=st.integers(0, INSTANCE_COUNT - 1),
        state=st.sampled_from(HealthState),
        badness=st.floats(0, 1),
        age=st.integers(0, 20_000),
    )
    def deliver_verdict(self, vm, home, number, state, badness, age):
        instance = make_instances(INSTANCE_COUNT)[number]
        self.vms[vm].receive(
            f"home{home}", instance, state, max(0.0, self.now - age), badness
        )

    @rule(vm=st.integers(0, VM_COUNT - 1), number=st.integers(0, INSTANCE_COUNT - 1))
    def lose_connections(self, vm, number):
        address = make_instances(INSTANCE_COUNT)[number].address
        for _ in range(UNREACHABLE_AFTER_FAILURES):
            self.vms[vm].view.on_attempt(address, Evidence.LINK, self.now)

    @rule(vm=st.integers(0, VM_COUNT - 1), number=st.integers(0, INSTANCE_COUNT - 1))
    def flip_leaving(self, vm, number):
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


def test_verdict_expires_when_its_home_stops_sending():
    vm, instances = VmHealth(), make_instances(4)
    vm.receive("home", instances[0], HealthState.SICK, 0.0)
    assert vm.weights(instances, 50, 1000.0)[instances[0].address] == 0.0
    assert vm.weights(instances, 50, 20_000.0)[instances[0].address] == 1.0


def test_worse_verdict_of_two_homes_applies():
    vm, instances = VmHealth(), make_instances(4)
    vm.receive("one", instances[0], HealthState.SICK, 0.0)
    vm.receive("two", instances[0], HealthState.HEALTHY, 1.0)
    assert vm.weights(instances, 50, 2.0)[instances[0].address] == 0.0
