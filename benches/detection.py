"""Detection time and false ejections of the health detector on simulated traces.

The detector is the production class ``Home``, which merges the reports of all VMs
about the instances of a service and decides at every tick of 200 ms which of them are
ejected. Here it gets the reports of 40 VMs, each lost with a probability of 2% and
delayed by up to one tick. Detection time runs from the start of the fault to the
verdict, and includes one tick for that delay and one until the verdict reaches
the VMs. It is compared with a target, with Lorden's lower bound for sequential
tests and with ejection by each VM alone after consecutive failures.
"""

import argparse
import math
import sys
import time
from multiprocessing import Pool
from random import Random

import numpy as np
from traces import TICK_MS, Fault, Scenario, generate_ticks

from galenaferry.health.home import DetectionSettings, Home, InstanceFacts
from galenaferry.health.messages import Counts, HealthState, Report
from galenaferry.health.report_sender import FAILURE_REPORT_COPIES

# Probability that a report is lost.
REPORT_LOSS = 0.02
# Allowed mean number of days between false ejections of an instance. The detector is
# set to it.
FALSE_EJECTION_DAYS_BY_CUSTOMER = {"Khangai": 10.0, "Nevada Andina": 100.0}
INSTANCES_BY_CUSTOMER = {"Khangai": 19, "Nevada Andina": 16}
# Target of the detection time in seconds, by error rates of the faulty instance
# and of the others, then by customer.
TARGETS_S = {
    (0.3, 0.001): {"Khangai": 2.0, "Nevada Andina": 2.5},
    (0.3, 0.01): {"Khangai": 3.0, "Nevada Andina": 3.5},
    (0.1, 0.001): {"Khangai": 8.0, "Nevada Andina": 9.0},
    (0.1, 0.01): {"Khangai": 15.0, "Nevada Andina": 17.0},
}
# Traces per row of the first table. Rows of other faults and of the baseline have a
# quarter of them.
DEFAULT_TRACES = 200
PARTS = ("errors", "others", "healthy", "all")


class DetectionResult:
    """When the faulty instance was ejected, and how often others were.

    ``detected_s`` is in seconds from the start of the fault, None if undetected.
    """

    def __init__(self) -> None:
        self.detected_s: float | None = None
        self.false_ejections = 0


def replay(scenario: Scenario, days: float) -> DetectionResult:
    """Run a home on the reports of a scenario.

    Parameters
    ----------
    scenario : Scenario
    days : float
        Mean number of days between false ejections that the detector is set to.
    """
    vm_names = [f"10.0.0.{vm}:7000" for vm in range(scenario.vms)]

    def instance_facts(key: int) -> InstanceFacts | None:
        return InstanceFacts(key, "service", f"zone{key % 3}", False)

    home = Home(instance_facts, lambda service: DetectionSettings(days))
    random = Random(scenario.seed)
    result = DetectionResult()
    shape = (scenario.instances, scenario.vms)
    totals = np.zeros((3, *shape), dtype=np.int64)
    has_unreported_counts = np.zeros(shape, dtype=bool)
    has_unreported_failures = np.zeros(scenario.vms, dtype=bool)
    ejected: set[int] = set()
    for vm_name in vm_names:
        # A home takes a VM's first report as the baseline of its totals.
        counts = tuple(Counts(key, 0, 0, 0) for key in range(scenario.instances))
        home.on_report(vm_name, 1, Report(counts), 0.0)
    for tick in generate_ticks(scenario):
        totals[0] += tick.requests
        totals[1] += tick.failures
        totals[2] += tick.slow
        has_unreported_counts |= tick.requests > 0
        has_unreported_failures |= (tick.failures > 0).any(axis=0)
        for vm in np.nonzero(has_unreported_counts.any(axis=0))[0]:
            # A report with a failure is sent twice; both copies may be lost.
            copies = FAILURE_REPORT_COPIES if has_unreported_failures[vm] else 1
            if all(random.random() < REPORT_LOSS for _ in range(copies)):
                continue
            has_unreported_failures[vm] = False
            keys = np.nonzero(has_unreported_counts[:, vm])[0]
            counts = tuple(
                Counts(int(key), *(int(totals[kind, key, vm]) for kind in range(3)))
                for key in keys
            )
            home.on_report(vm_names[vm], 1, Report(counts), tick.now)
            has_unreported_counts[:, vm] = False
        for verdict in home.on_tick(tick.now):
            is_new_ejection = (
                verdict.state is HealthState.SICK and verdict.key not in ejected
            )
            if verdict.state is not HealthState.SICK:
                ejected.discard(verdict.key)
            if is_new_ejection:
                ejected.add(verdict.key)
                _record_ejection(scenario, result, verdict.key, tick.now)
    return result


def _record_ejection(
    scenario: Scenario, result: DetectionResult, key: int, now: float
) -> None:
    """Count an ejection as the detection of the fault or as a false ejection."""
    fault_start_ms = scenario.fault_from_s * 1000.0
    is_true_positive = (
        scenario.fault is not Fault.NONE and key == 0 and now >= fault_start_ms
    )
    if not is_true_positive:
        result.false_ejections += 1
    elif result.detected_s is None:
        # One tick for the delay of the reports, one for the way of the verdict.
        result.detected_s = (now - fault_start_ms + 2.0 * TICK_MS) / 1000.0


def replay_consecutive_failures(scenario: Scenario) -> DetectionResult:
    """Run the baseline: a VM ejects for 30 s after 5 consecutive failures.

    Every VM decides alone. The fault counts as detected once more than half of the
    VMs have the faulty instance ejected, without delays for messages. The order of
    requests within a tick is not known: only a tick with successes and without
    failures ends a series of failures.
    """
    result = DetectionResult()
    consecutive_failures = np.zeros((scenario.instances, scenario.vms), dtype=np.int64)
    ejected_until_ms = np.zeros((scenario.instances, scenario.vms))
    for tick in generate_ticks(scenario):
        has_failures = tick.failures > 0
        has_successes = tick.requests > tick.failures
        consecutive_failures = np.where(
            has_successes & ~has_failures, 0, consecutive_failures + tick.failures
        )
        is_ejected_now = (consecutive_failures >= 5) & (ejected_until_ms < tick.now)
        for key, vm in zip(*np.nonzero(is_ejected_now)):
            ejected_until_ms[key, vm] = tick.now + 30_000.0
            consecutive_failures[key, vm] = 0
            if key != 0 or scenario.fault is Fault.NONE:
                result.false_ejections += 1
        using_vm_fraction = (ejected_until_ms[0] <= tick.now).mean()
        if result.detected_s is None and using_vm_fraction < 0.5:
            result.detected_s = tick.now / 1000.0 - scenario.fault_from_s
    return result


def lorden_bound_s(
    days: float,
    requests_per_second: float,
    fault_rate: float,
    background_error_rate: float,
) -> float:
    """Return the lower bound of the mean detection delay of any test, in s.

    It holds for tests with a mean of ``days`` between false alarms, and is the
    logarithm of the requests in that time over the Kullback-Leibler divergence of
    the faulty error rate from the background one.
    """
    divergence = fault_rate * math.log(fault_rate / background_error_rate)
    divergence += (1 - fault_rate) * math.log(
        (1 - fault_rate) / (1 - background_error_rate)
    )
    requests = days * 86_400 * requests_per_second
    return math.log(requests) / divergence / requests_per_second


def _error_detection_s(arguments: tuple[str, float, float, int]) -> float:
    """Return the detection time of an instance with errors, infinite if missed."""
    customer, fault_rate, background_error_rate, seed = arguments
    scenario = Scenario(
        seed,
        INSTANCES_BY_CUSTOMER[customer],
        background_error_rate=background_error_rate,
        fault=Fault.ERRORS,
        fault_rate=fault_rate,
    )
    detected_s = replay(scenario, FALSE_EJECTION_DAYS_BY_CUSTOMER[customer]).detected_s
    return math.inf if detected_s is None else detected_s


def _other_fault_result(arguments: tuple[str, str, int]) -> tuple[float, int]:
    """Return the detection time, infinite if missed, and the false ejections."""
    customer, fault_name, seed = arguments
    result = replay(
        _fault_scenario(fault_name, customer, seed),
        FALSE_EJECTION_DAYS_BY_CUSTOMER[customer],
    )
    detected_s = result.detected_s
    return (math.inf if detected_s is None else detected_s, result.false_ejections)


def _fault_scenario(fault_name: str, customer: str, seed: int) -> Scenario:
    """Return the scenario of a row of the table of other faults.

    The fault rate of a slow instance is the share of its answers that exceed the
    threshold for slow answers, which one answer in ten exceeds without a fault.
    """
    instances = INSTANCES_BY_CUSTOMER[customer]
    match fault_name:
        case "50% errors":
            return Scenario(seed, instances, fault=Fault.ERRORS, fault_rate=0.5)
        case "100% errors":
            return Scenario(seed, instances, fault=Fault.ERRORS, fault_rate=1.0)
        case "3 times slow":
            return Scenario(seed, instances, fault=Fault.SLOW, fault_rate=0.8)
        case "10 times slow":
            return Scenario(seed, instances, fault=Fault.SLOW, fault_rate=0.999)
        case "flapping 30%":
            return Scenario(seed, instances, fault=Fault.FLAPPING, fault_rate=0.3)
        case "one VM's network broken":
            return Scenario(seed, instances, has_broken_vm=True)
        case "slow zone":
            return Scenario(seed, instances, has_slow_zone=True)
    raise ValueError(fault_name)


def _healthy_result(arguments: tuple[str, float, int, float]) -> tuple[int, float]:
    """Return the false ejections and the number of simulated instance-days."""
    customer, background_error_rate, seed, hours = arguments
    instances = INSTANCES_BY_CUSTOMER[customer]
    scenario = Scenario(
        seed,
        instances,
        background_error_rate=background_error_rate,
        seconds=hours * 3600.0,
        bursts_per_hour=6.0,
        bad_requests_per_hour=6.0,
    )
    result = replay(scenario, FALSE_EJECTION_DAYS_BY_CUSTOMER[customer])
    return result.false_ejections, instances * hours / 24.0


def print_error_detection(pool: Pool, traces: int) -> None:
    """Print detection times of errors against the targets and Lorden's bound."""
    print(
        f"errors: {traces} traces a row (seeds 0 to {traces - 1}), 20 requests/s,"
        " 40 VMs, 2% of reports lost; seconds"
    )
    print(
        "customer       level  background   mean    95%  target   Lorden"
        "  1.5 x Lorden + 0.2"
    )
    for (fault_rate, background_error_rate), targets_s in TARGETS_S.items():
        for customer, target_s in targets_s.items():
            tasks = [
                (customer, fault_rate, background_error_rate, seed)
                for seed in range(traces)
            ]
            times_s = np.sort(pool.map(_error_detection_s, tasks))
            bound_s = lorden_bound_s(
                FALSE_EJECTION_DAYS_BY_CUSTOMER[customer],
                20.0,
                fault_rate,
                background_error_rate,
            )
            percentile_95_s = times_s[math.ceil(0.95 * traces) - 1]
            print(
                f"{customer:14} {fault_rate:4.0%}   {background_error_rate:8.1%} "
                f"{times_s.mean():7.2f} {percentile_95_s:6.2f} {target_s:7.1f}"
                f" {bound_s:8.2f}  {1.5 * bound_s + 0.2:8.2f}"
            )
            sys.stdout.flush()


def print_other_faults(pool: Pool, traces: int) -> None:
    """Print detection times of other faults.

    A broken network of one VM and a slow zone are no faults of an instance: nothing
    should be ejected, so that their detection time is infinite.
    """
    print(f"\nother faults: {traces} traces a row; seconds; others = wrong ejections")
    for fault_name in (
        "50% errors",
        "100% errors",
        "3 times slow",
        "10 times slow",
        "flapping 30%",
        "one VM's network broken",
        "slow zone",
    ):
        for customer in FALSE_EJECTION_DAYS_BY_CUSTOMER:
            tasks = [(customer, fault_name, seed) for seed in range(traces)]
            results = pool.map(_other_fault_result, tasks)
            times_s = np.sort([result[0] for result in results])
            percentile_95_s = times_s[math.ceil(0.95 * traces) - 1]
            median_s = times_s[traces // 2]
            false_ejections = sum(result[1] for result in results)
            print(
                f"{customer:14} {fault_name:24} median {median_s:6.2f}"
                f"  95% {percentile_95_s:6.2f}  others {false_ejections}"
            )
            sys.stdout.flush()


def print_baseline(traces: int) -> None:
    """Print the detection time of the consecutive-failure baseline."""
    print("\nbaseline: 5 errors in a row at each VM, 30 s out; half the VMs reached")
    for fault_rate in (0.1, 0.3, 1.0):
        results = [
            replay_consecutive_failures(
                Scenario(seed, 16, fault=Fault.ERRORS, fault_rate=fault_rate)
            )
            for seed in range(traces)
        ]
        times_s = sorted(
            math.inf if result.detected_s is None else result.detected_s
            for result in results
        )
        print(f"  {fault_rate:4.0%} errors: median {times_s[traces // 2]:.1f} s")


def print_false_ejections(pool: Pool, days: float) -> None:
    """Print false ejections in at least ``days`` instance-days without a fault."""
    print(
        "\nhealthy, with 6 bursts and 6 bad requests an hour: false ejections"
        " in instance-days"
    )
    for customer in FALSE_EJECTION_DAYS_BY_CUSTOMER:
        for background_error_rate in (0.001, 0.01):
            hours = 2.0
            trace_count = math.ceil(
                days * 24.0 / hours / INSTANCES_BY_CUSTOMER[customer]
            )
            tasks = [
                (customer, background_error_rate, 10_000 + seed, hours)
                for seed in range(trace_count)
            ]
            results = pool.map(_healthy_result, tasks, chunksize=1)
            false_ejections = sum(result[0] for result in results)
            instance_days = sum(result[1] for result in results)
            target_per_day = 1.0 / FALSE_EJECTION_DAYS_BY_CUSTOMER[customer]
            print(
                f"{customer:14} {background_error_rate:5.1%}: {false_ejections}"
                f" in {instance_days:.0f} ({false_ejections / instance_days:.4f} a day;"
                f" target {target_per_day:.2f})"
            )
            sys.stdout.flush()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--traces", type=int, default=DEFAULT_TRACES)
    parser.add_argument("--days", type=float, default=100.0)
    parser.add_argument("--part", choices=PARTS, default="all")
    parser.add_argument("--processes", type=int, default=5)
    arguments = parser.parse_args()
    started = time.monotonic()
    with Pool(arguments.processes) as pool:
        if arguments.part in ("errors", "all"):
            print_error_detection(pool, arguments.traces)
        if arguments.part in ("others", "all"):
            print_other_faults(pool, max(1, arguments.traces // 4))
            print_baseline(max(1, arguments.traces // 4))
        if arguments.part in ("healthy", "all"):
            print_false_ejections(pool, arguments.days)
    print(f"\n{time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
