"""Builders of home VMs, instances and health views."""

from random import Random

from galenaferry.backends.messages import Instance
from galenaferry.configuration.policy import Policy
from galenaferry.health.home import DetectionSettings, Home, InstanceFacts
from galenaferry.health.messages import (
    Counts,
    HealthState,
    Report,
    Verdict,
    instance_key,
)
from galenaferry.health.state import HealthView

TICK_MS = 200.0


def make_home(days=10.0, zones=1):
    return Home(
        lambda key: InstanceFacts(key, "service", f"zone{key % zones}", False),
        lambda service: DetectionSettings(days),
    )


def make_instances(count):
    return tuple(
        Instance(f"10.1.0.{n}:80", "service", "north", False) for n in range(count)
    )


class HomeBench:
    """A home VM, and VMs that report seeded random traffic at every tick."""

    def __init__(self, instances=6, vms=10, days=10.0, seed=1):
        self.home = make_home(days)
        self.random = Random(seed)
        self.instances = instances
        self.names = [f"vm{n}" for n in range(vms)]
        self.totals = {
            (name, key): [0, 0, 0] for name in self.names for key in range(instances)
        }
        self.now = 0.0
        self.states = {}
        for name in self.names:
            self.report(name)

    def report(self, name, incarnation=1):
        rows = tuple(
            Counts(key, *self.totals[name, key]) for key in range(self.instances)
        )
        self.home.on_report(name, incarnation, Report(rows), self.now)
        return rows

    def run(self, seconds, error_rate_of=lambda name, key: 0.001, rate=2):
        """Let each VM send ``rate`` requests per second to each instance."""
        for _ in range(int(seconds * 1000 / TICK_MS)):
            self.now += TICK_MS
            for (name, key), total in self.totals.items():
                if self.random.random() < rate * TICK_MS / 1000:
                    total[0] += 1
                    total[1] += self.random.random() < error_rate_of(name, key)
            for name in self.names:
                self.report(name)
            for verdict in self.home.on_tick(self.now):
                self.states[verdict.key] = verdict.state
        return self

    def sick_keys(self):
        return {key for key, state in self.states.items() if state is HealthState.SICK}


class VmHealth:
    """Health view of one VM, which receives verdicts in any order."""

    def __init__(self):
        self.view = HealthView()

    def receive(self, home, instance, state, now, badness=0.5):
        verdict = Verdict(instance_key(instance.address), state, 20, badness)
        self.view.on_verdict(home, verdict, now)

    def weights(self, instances, floor, now, cold=frozenset()):
        policy = Policy(floor_percent=floor)
        return self.view.apply_floor(
            "service", instances, cold, policy, now
        ).weight_by_address
