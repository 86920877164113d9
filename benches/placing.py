"""Time of a choice, and failed bookings by placing and by a plain policy."""

import argparse
import time
from random import Random

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.messages import Instance, SelectionCriteria
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.network.loop import Loop
from galenaferry.placing.component import Placement, PlacementSettings
from galenaferry.placing.tests.simulation import Scenario, simulate

SEEDS = range(1, 9)
LOADS = {
    "36 VMs, 16 instances": Scenario(),
    "the same, 12% of messages lost": Scenario(message_loss=0.12),
    "the same, nothing heard of others": Scenario(has_broadcasts=False),
    "6 slots an instance": Scenario(slots=6),
    "6 slots, 9 instances, spells rarer": Scenario(
        slots=6, instances=9, mean_healthy_time=30_000.0, mean_sick_time=4_000.0
    ),
    "91 VMs, 127 instances": Scenario(
        vms=91, instances=127, rate=5.5, duration=20_000.0
    ),
    "spells of 10 s": Scenario(mean_healthy_time=23_000.0, mean_sick_time=10_000.0),
    "spells of 1 s": Scenario(mean_healthy_time=2_300.0, mean_sick_time=1_000.0),
}


ZONES = ("north", "south", "west", "east")
CHOICES = 500


def time_of_choice(count):
    """Return the processor time of one choice among ``count`` instances, in us."""
    settings = PlacementSettings(ZONES[0], 0.7)
    loop = Loop(FakeClock(1000.0))
    placement = Placement(loop, settings, Random(1), lambda outcomes: None)
    instances = [
        Instance(f"10.2.0.{n}:80", "bookings", ZONES[n % 4], False, f"i-{n}")
        for n in range(count)
    ]
    placement.replace_instances(instances)
    vms = tuple(sorted(Vm(f"10.1.0.{n}:7000", ZONES[n % 4]) for n in range(91)))
    placement.update_live_vms(vms[0], vms)
    for instance in instances[: count // 4]:
        placement.pool(instance)
        address = instance.address
        placement.observe("bookings", address, "r", b"/", Evidence.FAILURE, 1.0)
    criteria = SelectionCriteria("bookings", "r", DEFAULT_POLICY, frozenset(), False)
    share = placement.capacity_share(DEFAULT_POLICY)
    placement.choose(criteria, share, True)
    begun = time.process_time()
    for _ in range(CHOICES):
        placement.choose(criteria, share, True)
    return (time.process_time() - begun) * 1e6 / CHOICES


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    for count in (16, 64, 127):
        print(f"a choice among {count:3} instances: {time_of_choice(count):6.0f} us")
    print(
        f"{'load':36} {'requests':>8} {'plain':>7} {'placed':>7} "
        f"{'refused':>8} {'ms':>5} {'least share':>12}"
    )
    for name, load in LOADS.items():
        plain = [simulate(load, seed, is_random_choice=True) for seed in SEEDS]
        placed = [simulate(load, seed) for seed in SEEDS]
        requests = sum(outcome.requests for outcome in placed)
        others = sum(o.failed for o in plain) / sum(o.requests for o in plain)
        mine = sum(outcome.failed for outcome in placed) / requests
        refused = sum(outcome.refused for outcome in placed) / requests
        took = sum(outcome.mean_latency for outcome in placed) / len(placed)
        least = min(outcome.min_traffic_share for outcome in placed)
        print(
            f"{name:36} {requests:8} {others:7.3f} {mine:7.3f} "
            f"{refused:8.3f} {took:5.0f} {least:12.2f}"
        )


if __name__ == "__main__":
    main()
