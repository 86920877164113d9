"""CPU time of choosing an instance, and failed requests against a random choice.

In the printed table "plain" and "placed" are the shares of requests that failed
with a uniformly random choice and with ``Placement``. The other columns are of
``Placement``: "refused" is the share of requests that instances refused at every
attempt because their queues were full, "ms" the mean latency of answered requests, and
"least share" the number of attempts at the least used instance, divided by the mean
number of requests per instance, in the worst of the seeds.
"""

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

# A spell is a period in which an instance is sick; two labels state its mean length.
# With "nothing heard of others" the VMs don't share the outcomes of their attempts.
SCENARIO_BY_LABEL = {
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
TIMED_CHOICES = 500


def choice_time_us(count):
    """Return the CPU time in us of one choice among ``count`` instances.

    A quarter of the instances have failed once, so that their estimates differ. The
    floor is 0.7: at least that share of the instances without a recent failure stays
    in use.
    """
    settings = PlacementSettings(ZONES[0], 0.7)
    loop = Loop(FakeClock(1000.0))
    placement = Placement(loop, settings, Random(1), lambda outcomes: None)
    instances = [
        Instance(f"10.2.0.{n}:80", "bookings", ZONES[n % 4], False, f"i-{n}")
        for n in range(count)
    ]
    placement.replace_instances(instances)
    vms = tuple(sorted(Vm(f"10.1.0.{n}:7000", ZONES[n % 4]) for n in range(91)))
    placement.set_live_vms(vms[0], vms)
    for instance in instances[: count // 4]:
        placement.pool(instance)
        address = instance.address
        placement.observe("bookings", address, "r", b"/", Evidence.FAILURE, 1.0)
    criteria = SelectionCriteria("bookings", "r", DEFAULT_POLICY, frozenset(), False)
    share = placement.capacity_share(DEFAULT_POLICY)
    placement.choose(criteria, share, True)
    started = time.process_time()
    for _ in range(TIMED_CHOICES):
        placement.choose(criteria, share, True)
    return (time.process_time() - started) * 1e6 / TIMED_CHOICES


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    seeds = range(1, parser.parse_args().seeds + 1)
    for count in (16, 64, 127):
        print(f"a choice among {count:3} instances: {choice_time_us(count):6.0f} us")
    print(
        f"{'load':36} {'requests':>8} {'plain':>7} {'placed':>7} "
        f"{'refused':>8} {'ms':>5} {'least share':>12}"
    )
    for label, scenario in SCENARIO_BY_LABEL.items():
        random_results = [
            simulate(scenario, seed, is_random_choice=True) for seed in seeds
        ]
        placement_results = [simulate(scenario, seed) for seed in seeds]
        requests = sum(result.requests for result in placement_results)
        random_failure_rate = sum(r.failed for r in random_results) / sum(
            r.requests for r in random_results
        )
        placement_failure_rate = (
            sum(result.failed for result in placement_results) / requests
        )
        refused_rate = sum(result.refused for result in placement_results) / requests
        mean_latency_ms = sum(
            result.mean_latency for result in placement_results
        ) / len(placement_results)
        min_traffic_share = min(
            result.min_traffic_share for result in placement_results
        )
        print(
            f"{label:36} {requests:8} {random_failure_rate:7.3f}"
            f" {placement_failure_rate:7.3f} {refused_rate:8.3f}"
            f" {mean_latency_ms:5.0f} {min_traffic_share:12.2f}"
        )


if __name__ == "__main__":
    main()
