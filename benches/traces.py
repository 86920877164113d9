"""Seeded traces of requests to the instances of one service, for the health detector.

A trace is generated in ticks. Each one has the numbers of requests, failures and
slow responses by instance and VM. Traces are generated again from their seeds and
not stored, except for the few that ``record_traces`` writes for the tests.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import numpy as np

TICK_MS = 200.0


class Fault(Enum):
    """What is wrong with the faulty instance.

    With ``FLAPPING`` it has errors for 20 s and none beyond the background for the
    next 20 s, again and again.
    """

    NONE = "none"
    ERRORS = "errors"
    SLOW = "slow"
    FLAPPING = "flapping"


@dataclass(frozen=True)
class Scenario:
    """Parameters of one trace.

    ``requests_per_second`` is for each instance, over all VMs. ``fault_rate`` is the
    faulty instance's share of failures, or of slow responses for ``Fault.SLOW``.
    The fault, the VM with a broken network and the slow zone start at ``fault_from_s``.
    Bursts and bad requests per hour are those of the whole service, not of each
    instance.
    """

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
    """Requests of one tick: arrays of shape (instances, vms).

    ``now`` is the start of the tick in milliseconds.
    """

    now: float
    requests: np.ndarray
    failures: np.ndarray
    slow: np.ndarray


def generate_ticks(scenario: Scenario) -> Iterator[Tick]:
    """Yield the ticks of a scenario.

    Instance 0 is the faulty one, VM 0 the one with a broken network, and every third
    instance is in the slow zone. A request of VM 0 fails with a probability of at least
    50%, and an answer from the slow zone is slow with one of 50%. A burst makes 90% of
    an instance's requests fail for two ticks.
    """
    random = np.random.default_rng(scenario.seed)
    shape = (scenario.instances, scenario.vms)
    mean_requests = scenario.requests_per_second * TICK_MS / 1000.0 / scenario.vms
    burst_ticks_left = np.zeros(scenario.instances)
    bad_request_ticks_left = 0
    for tick_number in range(int(scenario.seconds * 1000.0 / TICK_MS)):
        now = tick_number * TICK_MS
        requests = random.poisson(mean_requests, shape)
        error_rates = np.full(shape, scenario.background_error_rate)
        # An answer is slow if it exceeds the estimated 90% quantile of the latencies.
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
            # A bad request is repeated for 10 ticks and fails at every instance. A
            # VM attributes its failure to one instance only, and only once.
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
