"""A fleet's placing played on a fake clock against instances that fall sick.

Instances change between well and sick at random times; a sick one fails a part of its
requests at once, a well one answers after its work. What a VM tells the others
arrives one step later, unless it is lost.
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
from galenaferry.placing.component import Placement, PlacementSettings

STEP_MS = 10.0
ATTEMPTS = 2


class Load(NamedTuple):
    """What is played; times in milliseconds, rates a second and VM.

    An instance with ``slots`` works on as many requests at once, lets
    ``longest_queue`` more wait and turns others away; without, it takes all at once.
    """

    vms: int = 36
    instances: int = 16
    rate: float = 2.0
    length: float = 30_000.0
    mean_well: float = 6_300.0
    mean_sick: float = 2_700.0
    fails_when_sick: float = 0.75
    fails_when_well: float = 0.012
    work: float = 480.0
    lost: float = 0.0
    hears_others: bool = True
    slots: int = 0
    longest_queue: int = 6


class Outcome(NamedTuple):
    """What callers got, and how work was spread."""

    requests: int
    failed: int
    least_share: float
    longest_pause: float
    refused: int = 0
    mean_latency: float = 0.0

    @property
    def failed_share(self):
        return self.failed / self.requests


class _Slots:
    """Slots of the instances, and when each is free again."""

    def __init__(self, load, addresses):
        self._load = load
        self._free_at_by_address = {a: [0.0] * load.slots for a in addresses}

    def end_of(self, address, now):
        """Take a slot for a request; return its end, None where it is turned away."""
        load = self._load
        if not load.slots:
            return now + load.work
        free_at = self._free_at_by_address[address]
        if sum(1 for at in free_at if at > now) >= load.slots:
            waits = (min(free_at) - now) / load.work * load.slots
            if waits > load.longest_queue:
                return None
        begins = max(now, min(free_at))
        free_at[free_at.index(min(free_at))] = begins + load.work
        return begins + load.work


class _Sickness:
    def __init__(self, load, random):
        self._load = load
        self._random = random
        self._is_sick = random.random() < load.mean_sick / (
            load.mean_sick + load.mean_well
        )
        self._until = self._span(0.0)

    def is_sick(self, now):
        while self._until <= now:
            self._is_sick = not self._is_sick
            self._until = self._span(self._until)
        return self._is_sick

    def _span(self, start):
        mean = self._load.mean_sick if self._is_sick else self._load.mean_well
        return start + self._random.expovariate(1.0 / mean)


def play(load, seed, is_plain=False):
    """Play a load and return what callers got; ``is_plain`` chooses at random."""
    random = Random(seed)
    clock = FakeClock(1000.0)
    loop = Loop(clock)
    zones = ("north", "south", "west")
    instances = [
        Instance(f"10.2.0.{n}:80", "bookings", zones[n % 3], False, f"i-{n}")
        for n in range(load.instances)
    ]
    vms = tuple(sorted(Vm(f"10.1.0.{n}:7000", zones[n % 3]) for n in range(load.vms)))
    by_address = {i.address: i for i in instances}
    sickness = {i.address: _Sickness(load, Random(f"{seed} {i.id}")) for i in instances}
    told = []
    placements = []
    for number, vm in enumerate(vms):
        placement = Placement(
            loop,
            PlacementSettings(vm.zone, 0.7),
            Random(f"{seed} {number}"),
            lambda outcomes, number=number: told.append((number, outcomes)),
        )
        placement.replace(instances)
        placement.share_with(vm, vms)
        placements.append(placement)
    pending = []
    order = count()
    slots = _Slots(load, sickness)
    used = Counter()
    last_used = dict.fromkeys(sickness, clock.now())
    pauses = dict.fromkeys(sickness, 0.0)
    requests = failed = refused = 0
    latency = 0.0
    ends_at = clock.now() + load.length
    while clock.now() < ends_at:
        now = clock.now()
        loop.poll(0.0)
        arrived, told[:] = list(told), []
        for sender, outcomes in arrived:
            for number, placement in enumerate(placements):
                is_heard = load.hears_others and random.random() >= load.lost
                if number != sender and is_heard:
                    placement.on_outcomes(vms[sender].address, outcomes)
        while pending and pending[0][0] <= now:
            _, _, placement, address, began_at = heappop(pending)
            took = now - began_at
            latency += took
            if load.slots:
                placement.pool(by_address[address]).in_flight -= 1
            placement.observe("bookings", address, "r", b"/", Evidence.SUCCESS, took)
        for placement in placements:
            if random.random() >= load.rate * STEP_MS / 1000.0:
                continue
            requests += 1
            tried = frozenset()
            while True:
                address = _choose(placement, instances, random, is_plain, tried)
                used[address] += 1
                pauses[address] = max(pauses[address], now - last_used[address])
                last_used[address] = now
                is_sick = sickness[address].is_sick(now)
                part = load.fails_when_sick if is_sick else load.fails_when_well
                if random.random() < part:
                    failed += 1
                    _see(placement, address, Evidence.FAILURE)
                    break
                done_at = slots.end_of(address, now)
                if done_at is not None:
                    if load.slots:
                        placement.pool(by_address[address]).in_flight += 1
                    item = (done_at, next(order), placement, address, now)
                    heappush(pending, item)
                    break
                _see(placement, address, Evidence.SHED)
                tried |= {address}
                if len(tried) == ATTEMPTS:
                    refused += 1
                    break
        clock.advance(STEP_MS)
    least = min(used[address] for address in sickness) * load.instances / requests
    answered = max(1, requests - failed - refused - len(pending))
    return Outcome(
        requests, failed, least, max(pauses.values()), refused, latency / answered
    )


def _see(placement, address, evidence):
    placement.observe("bookings", address, "r", b"/", evidence, 1.0)


def _choose(placement, instances, random, is_plain, tried):
    if is_plain:
        return random.choice([i for i in instances if i.address not in tried]).address
    criteria = SelectionCriteria("bookings", "r", DEFAULT_POLICY, tried, False)
    choice = placement.choose(criteria, placement.capacity_share(DEFAULT_POLICY), True)
    assert isinstance(choice, Chosen)
    return choice.instance.address
