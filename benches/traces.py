"""Seeded traces of work at the instances of one service, for the detectors.

A trace is generated in ticks. For every tick and instance it says which VMs saw
how many requests, failures and slow answers. The generator and its seeds are
the corpus: nothing else is stored.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np

TICK_MS = 200.0


class Fault(Enum):
    """What happens to the faulty instance, or to all."""

    NONE = "none"
    ERRORS = "errors"
    SLOW = "slow"
    FLAPPING = "flapping"


@dataclass(frozen=True)
class Scenario:
    """One trace; rates are requests per second over the whole fleet."""

    seed: int
    instances: int
    vms: int = 40
    requests_per_second: float = 20.0
    background_error_rate: float = 0.001
    fault: Fault = Fault.NONE
    fault_rate: float = 0.0
    fault_from_s: float = 30.0
    seconds: float = 90.0
    bursts_per_hour: float = 0.0
    bad_requests_per_hour: float = 0.0
    has_broken_vm: bool = False
    has_slow_zone: bool = False


@dataclass(frozen=True)
class Tick:
    """Work of one tick: arrays of shape (instances, vms)."""

    now: float
    requests: np.ndarray
    failures: np.ndarray
    slow: np.ndarray


def generate_ticks(scenario: Scenario) -> Iterator[Tick]:
    """Yield the ticks of a scenario; instance 0 is the faulty one."""
    random = np.random.default_rng(scenario.seed)
    shape = (scenario.instances, scenario.vms)
    mean_requests = scenario.requests_per_second * TICK_MS / 1000.0 / scenario.vms
    burst_ticks_left = np.zeros(scenario.instances)
    bad_request_ticks_left = 0
    for tick_number in range(int(scenario.seconds * 1000.0 / TICK_MS)):
        now = tick_number * TICK_MS
        requests = random.poisson(mean_requests, shape)
        error_rates = np.full(shape, scenario.background_error_rate)
        slow_rates = np.full(shape, 0.1)
        _apply_fault(scenario, now, error_rates, slow_rates)
        if scenario.has_slow_zone and now >= scenario.fault_from_s * 1000.0:
            slow_rates[::3] = 0.5
        if scenario.has_broken_vm and now >= scenario.fault_from_s * 1000.0:
            error_rates[:, 0] = np.maximum(error_rates[:, 0], 0.5)
        burst_ticks_left = np.maximum(0, burst_ticks_left - 1)
        if random.random() < scenario.bursts_per_hour * TICK_MS / 3.6e6:
            burst_ticks_left[random.integers(scenario.instances)] = 2
        error_rates[burst_ticks_left > 0] = np.maximum(
            error_rates[burst_ticks_left > 0], 0.9
        )
        if random.random() < scenario.bad_requests_per_hour * TICK_MS / 3.6e6:
            bad_request_ticks_left = 10
        failures = random.binomial(requests, error_rates)
        if bad_request_ticks_left > 0:
            # A bad request is sent again and again, and fails wherever it goes;
            # a VM blames one instance for it once.
            bad_request_ticks_left -= 1
            cell = random.integers(scenario.instances), random.integers(scenario.vms)
            requests[cell] += 1
            failures[cell] += 1
        slow = random.binomial(requests - failures, slow_rates)
        yield Tick(now, requests, failures, slow)


def _apply_fault(
    scenario: Scenario, now: float, error_rates: np.ndarray, slow_rates: np.ndarray
) -> None:
    if now < scenario.fault_from_s * 1000.0:
        return
    match scenario.fault:
        case Fault.ERRORS:
            error_rates[0] = scenario.fault_rate
        case Fault.SLOW:
            slow_rates[0] = scenario.fault_rate
        case Fault.FLAPPING:
            is_sick = int((now / 1000.0 - scenario.fault_from_s) / 20.0) % 2 == 0
            if is_sick:
                error_rates[0] = scenario.fault_rate
