"""Detection time and false ejections, beside two baselines and Lorden's bound.

The replay drives the real home of a service with the reports of 40 VMs, each
lost with a probability of 2% and delayed by up to one tick. Time to detection
counts from the fault's start to the verdict, plus one tick for its way back.
"""

import argparse
import math
import sys
import time
from multiprocessing import Pool
from random import Random

import numpy as np
from traces import TICK_MS, Fault, Scenario, generate

from galenaferry.health.home import DetectionSettings, Home, InstanceFacts
from galenaferry.health.messages import Counts, HealthState, Report
from galenaferry.health.report_sender import FAILURE_REPORT_COPIES

LOSS = 0.02
DIALS = {"Khangai": 10.0, "Nevada Andina": 100.0}
SIZES = {"Khangai": 19, "Nevada Andina": 16}
TARGETS = {
    (0.3, 0.001): {"Khangai": 2.0, "Nevada Andina": 2.5},
    (0.3, 0.01): {"Khangai": 3.0, "Nevada Andina": 3.5},
    (0.1, 0.001): {"Khangai": 8.0, "Nevada Andina": 9.0},
    (0.1, 0.01): {"Khangai": 15.0, "Nevada Andina": 17.0},
}
TRACES = 200
PARTS = ("errors", "others", "healthy", "all")


class Outcome:
    """Detection time of the faulty instance in s, and wrong ejections."""

    def __init__(self) -> None:
        self.detected_s: float | None = None
        self.false_ejections = 0


def replay(scenario: Scenario, days: float) -> Outcome:
    """Drive one home with the reports of a scenario."""
    names = [f"10.0.0.{vm}:7000" for vm in range(scenario.vms)]

    def facts(key: int) -> InstanceFacts | None:
        return InstanceFacts(key, "service", f"zone{key % 3}", False)

    home = Home(facts, lambda service: DetectionSettings(days))
    random = Random(scenario.seed)
    outcome = Outcome()
    shape = (scenario.instances, scenario.vms)
    totals = np.zeros((3, *shape), dtype=np.int64)
    dirty = np.zeros(shape, dtype=bool)
    has_failed = np.zeros(scenario.vms, dtype=bool)
    ejected: set[int] = set()
    for name in names:
        # The first report of a VM is its starting point.
        counts = tuple(Counts(key, 0, 0, 0) for key in range(scenario.instances))
        home.on_report(name, 1, Report(counts), 0.0)
    for tick in generate(scenario):
        totals[0] += tick.requests
        totals[1] += tick.failures
        totals[2] += tick.slow
        dirty |= tick.requests > 0
        has_failed |= (tick.failures > 0).any(axis=0)
        for vm in np.nonzero(dirty.any(axis=0))[0]:
            # A report with a failure goes out twice.
            copies = FAILURE_REPORT_COPIES if has_failed[vm] else 1
            if all(random.random() < LOSS for _ in range(copies)):
                continue
            has_failed[vm] = False
            keys = np.nonzero(dirty[:, vm])[0]
            counts = tuple(
                Counts(int(key), *(int(totals[part, key, vm]) for part in range(3)))
                for key in keys
            )
            home.on_report(names[vm], 1, Report(counts), tick.now)
            dirty[:, vm] = False
        for verdict in home.on_tick(tick.now):
            is_new = verdict.state is HealthState.SICK and verdict.key not in ejected
            if verdict.state is not HealthState.SICK:
                ejected.discard(verdict.key)
            if is_new:
                ejected.add(verdict.key)
                _record(scenario, outcome, verdict.key, tick.now)
    return outcome


def _record(scenario: Scenario, outcome: Outcome, key: int, now: float) -> None:
    start = scenario.fault_from_s * 1000.0
    is_faulty = scenario.fault is not Fault.NONE and key == 0 and now >= start
    if not is_faulty:
        outcome.false_ejections += 1
    elif outcome.detected_s is None:
        outcome.detected_s = (now - start + 2.0 * TICK_MS) / 1000.0


def replay_in_a_row(scenario: Scenario) -> Outcome:
    """Baseline: each VM ejects by itself after 5 failures in a row, for 30 s."""
    outcome = Outcome()
    in_a_row = np.zeros((scenario.instances, scenario.vms), dtype=np.int64)
    is_out_until = np.zeros((scenario.instances, scenario.vms))
    for tick in generate(scenario):
        failed = tick.failures > 0
        answered = tick.requests > tick.failures
        in_a_row = np.where(answered & ~failed, 0, in_a_row + tick.failures)
        out = (in_a_row >= 5) & (is_out_until < tick.now)
        for key, vm in zip(*np.nonzero(out)):
            is_out_until[key, vm] = tick.now + 30_000.0
            in_a_row[key, vm] = 0
            if key != 0 or scenario.fault is Fault.NONE:
                outcome.false_ejections += 1
        is_left = (is_out_until[0] <= tick.now).mean()
        if outcome.detected_s is None and is_left < 0.5:
            outcome.detected_s = tick.now / 1000.0 - scenario.fault_from_s
    return outcome


def lorden_seconds(days: float, rate: float, level: float, background: float) -> float:
    """Return the bound on the mean delay of any test, in s."""
    divergence = level * math.log(level / background)
    divergence += (1 - level) * math.log((1 - level) / (1 - background))
    requests = days * 86_400 * rate
    return math.log(requests) / divergence / rate


def _errors(arguments: tuple[str, float, float, int]) -> float:
    customer, level, background, seed = arguments
    scenario = Scenario(
        seed, SIZES[customer], background=background, fault=Fault.ERRORS, level=level
    )
    found = replay(scenario, DIALS[customer]).detected_s
    return math.inf if found is None else found


def _others(arguments: tuple[str, str, int]) -> tuple[float, int]:
    customer, kind, seed = arguments
    outcome = replay(_scenario(kind, customer, seed), DIALS[customer])
    found = outcome.detected_s
    return (math.inf if found is None else found, outcome.false_ejections)


def _scenario(kind: str, customer: str, seed: int) -> Scenario:
    size = SIZES[customer]
    match kind:
        case "50% errors":
            return Scenario(seed, size, fault=Fault.ERRORS, level=0.5)
        case "100% errors":
            return Scenario(seed, size, fault=Fault.ERRORS, level=1.0)
        case "3 times slow":
            return Scenario(seed, size, fault=Fault.SLOW, level=0.8)
        case "10 times slow":
            return Scenario(seed, size, fault=Fault.SLOW, level=0.999)
        case "flapping 30%":
            return Scenario(seed, size, fault=Fault.FLAPPING, level=0.3)
        case "one VM's network broken":
            return Scenario(seed, size, broken_vm=True)
        case "slow zone":
            return Scenario(seed, size, slow_zone=True)
    raise ValueError(kind)


def _healthy(arguments: tuple[str, float, int, float]) -> tuple[int, float]:
    customer, background, seed, hours = arguments
    size = SIZES[customer]
    scenario = Scenario(
        seed,
        size,
        background=background,
        seconds=hours * 3600.0,
        bursts_per_hour=6.0,
        bad_requests_per_hour=6.0,
    )
    outcome = replay(scenario, DIALS[customer])
    return outcome.false_ejections, size * hours / 24.0


def print_errors(pool: Pool, traces: int) -> None:
    print(
        f"errors: {traces} traces a row (seeds 0 to {traces - 1}), 20 requests/s,"
        " 40 VMs, 2% of reports lost; seconds"
    )
    print(
        "customer       level  background   mean    95%  target   Lorden"
        "  1.5 x Lorden + 0.2"
    )
    for (level, background), targets in TARGETS.items():
        for customer, target in targets.items():
            work = [(customer, level, background, seed) for seed in range(traces)]
            times = np.sort(pool.map(_errors, work))
            bound = lorden_seconds(DIALS[customer], 20.0, level, background)
            late = times[math.ceil(0.95 * traces) - 1]
            print(
                f"{customer:14} {level:4.0%}   {background:8.1%} "
                f"{times.mean():7.2f} {late:6.2f} {target:7.1f} {bound:8.2f}"
                f"  {1.5 * bound + 0.2:8.2f}"
            )
            sys.stdout.flush()


def print_others(pool: Pool, traces: int) -> None:
    print(f"\nother faults: {traces} traces a row; seconds; others = wrong ejections")
    for kind in (
        "50% errors",
        "100% errors",
        "3 times slow",
        "10 times slow",
        "flapping 30%",
        "one VM's network broken",
        "slow zone",
    ):
        for customer in DIALS:
            work = [(customer, kind, seed) for seed in range(traces)]
            rows = pool.map(_others, work)
            times = np.sort([row[0] for row in rows])
            late = times[math.ceil(0.95 * traces) - 1]
            median = times[traces // 2]
            wrong = sum(row[1] for row in rows)
            print(
                f"{customer:14} {kind:24} median {median:6.2f}  95% {late:6.2f}"
                f"  others {wrong}"
            )
            sys.stdout.flush()


def print_baseline(traces: int) -> None:
    print("\nbaseline: 5 errors in a row at each VM, 30 s out; half the VMs reached")
    for level in (0.1, 0.3, 1.0):
        outcomes = [
            replay_in_a_row(Scenario(seed, 16, fault=Fault.ERRORS, level=level))
            for seed in range(traces)
        ]
        times = sorted(
            math.inf if o.detected_s is None else o.detected_s for o in outcomes
        )
        print(f"  {level:4.0%} errors: median {times[traces // 2]:.1f} s")


def print_healthy(pool: Pool, days: float) -> None:
    print(
        "\nhealthy, with 6 bursts and 6 bad requests an hour: false ejections"
        " in instance-days"
    )
    for customer in DIALS:
        for background in (0.001, 0.01):
            hours = 2.0
            runs = math.ceil(days * 24.0 / hours / SIZES[customer])
            work = [
                (customer, background, 10_000 + seed, hours) for seed in range(runs)
            ]
            rows = pool.map(_healthy, work, chunksize=1)
            wrong = sum(row[0] for row in rows)
            total = sum(row[1] for row in rows)
            allowed = 1.0 / DIALS[customer]
            print(
                f"{customer:14} {background:5.1%}: {wrong} in {total:.0f}"
                f" ({wrong / total:.4f} a day; target {allowed:.2f})"
            )
            sys.stdout.flush()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--traces", type=int, default=TRACES)
    parser.add_argument("--days", type=float, default=100.0)
    parser.add_argument("--part", choices=PARTS, default="all")
    parser.add_argument("--processes", type=int, default=5)
    arguments = parser.parse_args()
    started = time.monotonic()
    with Pool(arguments.processes) as pool:
        if arguments.part in ("errors", "all"):
            print_errors(pool, arguments.traces)
        if arguments.part in ("others", "all"):
            print_others(pool, arguments.traces // 4)
            print_baseline(arguments.traces // 4)
        if arguments.part in ("healthy", "all"):
            print_healthy(pool, arguments.days)
    print(f"\n{time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
