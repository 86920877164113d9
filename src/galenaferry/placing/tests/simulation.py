"""Simulation of a fleet's placement on a fake clock, with instances that fail.

Instances change between healthy and sick at random times. A sick instance fails a
share of its requests at once, a healthy one responds after the service time. A
message from a VM reaches the others one step later, unless it is lost.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from galenaferry.attempts.messages import Evidence
from galenaferry.backends.choice import Chosen
from galenaferry.backends.messages import Instance, SelectionCriteria
from galenaferry.backends.ownership import Vm
from galenaferry.clock import FakeClock
from galenaferry.configuration.policy import DEFAULT_POLICY
from galenaferry.network.loop import Loop
from galenaferry.placing.component import Placement
from galenaferry.placing.settings import PlacementSettings

STEP_MS = 10.0
ATTEMPTS = 2
"""Attempts per request; only a shed request is attempted again."""


class Scenario(NamedTuple):
    """Parameters of a simulation; times in ms, ``rate`` in requests/s per VM.

    An instance processes ``slots`` requests at once, queues ``max_queue`` more and
    sheds others; with ``slots`` of 0 it processes all requests at once.
    """

    vms: int = 36
    instances: int = 16
    rate: float = 2.0
    duration: float = 30_000.0
    mean_healthy_time: float = 6_300.0
    mean_sick_time: float = 2_700.0
    sick_failure_rate: float = 0.75
    healthy_failure_rate: float = 0.012
    service_time: float = 480.0
    message_loss: float = 0.0
    has_broadcasts: bool = True
    slots: int = 0
    max_queue: int = 6


class SimulationResult(NamedTuple):
    """Outcome for the callers, and distribution of the requests.

    ``min_traffic_share`` is the number of requests of the least used instance divided
    by the mean, ``max_idle_time`` the longest time in ms without a request. ``refused``
    requests were shed at every attempt.
    """

    requests: int
    failed: int
    min_traffic_share: float
    max_idle_time: float
    refused: int = 0
    mean_latency: float = 0.0

    @property
    def failure_rate(self):
        return self.failed / self.requests


class _SlotQueues:
    """Times at which the slots of the instances become free."""

    def __init__(self, scenario, addresses):
        self._scenario = scenario
        self._free_at_by_address = {a: [0.0] * scenario.slots for a in addresses}

    def finish_time(self, address, now):
        """Take a slot; return the time at which it is free again, None if shed."""
        scenario = self._scenario
        if not scenario.slots:
            return now + scenario.service_time
        free_at = self._free_at_by_address[address]
        if sum(1 for at in free_at if at > now) >= scenario.slots:
            queue_length = (min(free_at) - now) / scenario.service_time * scenario.slots
            if queue_length > scenario.max_queue:
                return None
        start = max(now, min(free_at))
        free_at[free_at.index(min(free_at))] = start + scenario.service_time
        return start + scenario.service_time


class _FaultProcess:
    def __init__(self, scenario, random):
        self._scenario = scenario
        self._random = random
        self._is_sick = random.random() < scenario.mean_sick_time / (
            scenario.mean_sick_time + scenario.mean_healthy_time
        )
        self._changes_at = self._next_change(0.0)

    def is_sick(self, now):
        while self._changes_at <= now:
            self._is_sick = not self._is_sick
            self._changes_at = self._next_change(self._changes_at)
        return self._is_sick

    def _next_change(self, start):
        mean_time = (
            self._scenario.mean_sick_time
            if self._is_sick
            else self._scenario.mean_healthy_time
        )
        return start + self._random.expovariate(1.0 / mean_time)


def simulate(scenario, seed, is_random_choice=False):
    """Simulate a fleet; with ``is_random_choice`` each VM picks instances at random."""
    random = Random(seed)
    clock = FakeClock(1000.0)
    loop = Loop(clock)
    zones = ("north", "south", "west")
    instances = [
        Instance(f"10.2.0.{n}:80", "bookings", zones[n % 3], False, f"i-{n}")
        for n in range(scenario.instances)
    ]
    vms = tuple(
        sorted(Vm(f"10.1.0.{n}:7000", zones[n % 3]) for n in range(scenario.vms))
    )
    instance_by_address = {i.address: i for i in instances}
    faults = {
        i.address: _FaultProcess(scenario, Random(f"{seed} {i.id}")) for i in instances
    }
    sent = []
    placements = []
    for number, vm in enumerate(vms):
        placement = Placement(
            loop,
            PlacementSettings(vm.zone, 0.7),
            Random(f"{seed} {number}"),
            lambda outcomes, number=number: sent.append((number, outcomes)),
        )
        placement.replace_instances(instances)
        placement.set_live_vms(vm, vms)
        placements.append(placement)
    in_progress = []
    sequence = count()
    slots = _SlotQueues(scenario, faults)
    request_count = Counter()
    last_used = dict.fromkeys(faults, clock.now())
    max_idle = dict.fromkeys(faults, 0.0)
    requests = failed = refused = 0
    total_latency = 0.0
    ends_at = clock.now() + scenario.duration
    while clock.now() < ends_at:
        now = clock.now()
        loop.poll(0.0)
        received, sent[:] = list(sent), []
        for sender, outcomes in received:
            for number, placement in enumerate(placements):
                is_delivered = (
                    scenario.has_broadcasts and random.random() >= scenario.message_loss
                )
                if number != sender and is_delivered:
                    placement.on_outcomes(vms[sender].address, outcomes)
        while in_progress and in_progress[0][0] <= now:
            _, _, placement, address, started_at = heappop(in_progress)
            elapsed = now - started_at
            total_latency += elapsed
            if scenario.slots:
                placement.pool(instance_by_address[address]).in_flight -= 1
            placement.observe("bookings", address, "r", b"/", Evidence.SUCCESS, elapsed)
        for placement in placements:
            if random.random() >= scenario.rate * STEP_MS / 1000.0:
                continue
            requests += 1
            tried = frozenset()
            while True:
                address = _choose(placement, instances, random, is_random_choice, tried)
                request_count[address] += 1
                max_idle[address] = max(max_idle[address], now - last_used[address])
                last_used[address] = now
                is_sick = faults[address].is_sick(now)
                failure_rate = (
                    scenario.sick_failure_rate
                    if is_sick
                    else scenario.healthy_failure_rate
                )
                if random.random() < failure_rate:
                    failed += 1
                    _observe(placement, address, Evidence.FAILURE)
                    break
                finishes_at = slots.finish_time(address, now)
                if finishes_at is not None:
                    if scenario.slots:
                        placement.pool(instance_by_address[address]).in_flight += 1
                    item = (finishes_at, next(sequence), placement, address, now)
                    heappush(in_progress, item)
                    break
                _observe(placement, address, Evidence.SHED)
                tried |= {address}
                if len(tried) == ATTEMPTS:
                    refused += 1
                    break
        clock.advance(STEP_MS)
    min_share = (
        min(request_count[address] for address in faults)
        * scenario.instances
        / requests
    )
    answered = max(1, requests - failed - refused - len(in_progress))
    return SimulationResult(
        requests,
        failed,
        min_share,
        max(max_idle.values()),
        refused,
        total_latency / answered,
    )


def _observe(placement, address, evidence):
    placement.observe("bookings", address, "r", b"/", evidence, 1.0)


def _choose(placement, instances, random, is_random_choice, tried):
    if is_random_choice:
        return random.choice([i for i in instances if i.address not in tried]).address
    criteria = SelectionCriteria("bookings", "r", DEFAULT_POLICY, tried, False)
    choice = placement.choose(criteria, placement.capacity_share(DEFAULT_POLICY), True)
    assert isinstance(choice, Chosen)
    return choice.instance.address
